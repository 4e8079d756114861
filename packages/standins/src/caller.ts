/** A caller that records what it received of each request. */

import {requestId} from '@persimmonwick/coordination';
import type {CallerAnswer, ExecutionState} from '@persimmonwick/coordination';
import {createParser} from 'eventsource-parser';
import {request as send} from 'undici';
import type {Dispatcher} from 'undici';
import type {RunRecorder} from './run-recorder.js';

/** How a request ended. */
export interface CallerResult {
  readonly status: number;
  readonly code: string | undefined;
  readonly answer: CallerAnswer;
}

/** A request for a streamed completion. */
export interface StreamOptions {
  readonly request: string;
  readonly host: string;
  readonly address: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly signal?: AbortSignal;
}

/** A call of a plain service. */
export interface CallOptions {
  readonly request: string;
  readonly host: string;
  readonly address: string;
  readonly key: string;
  readonly account: string;
  readonly route: string;
  readonly path: string;
  readonly idempotencyKey?: string;
}

const okStatus = 200;
const firstErrorStatus = 400;

export class Caller {
  constructor(private readonly recorder: RunRecorder) {}

  /** Sends a streamed completion and reads it to its end. */
  async stream(plan: StreamOptions): Promise<CallerResult> {
    this.recorder.received(plan.request, plan.host, plan.key);
    const result = await this.readStream(plan);
    this.recorder.answered(plan.request, result.answer);
    return result;
  }

  /** Calls a plain service. */
  async call(plan: CallOptions): Promise<CallerResult & {text: string}> {
    const {idempotencyKey, account, route} = plan;
    this.recorder.received(
      plan.request,
      plan.host,
      plan.key,
      idempotencyKey && {account, route, idempotencyKey},
    );
    const result = await this.readCall(plan);
    this.recorder.answered(plan.request, result.answer);
    return result;
  }

  private async readStream(plan: StreamOptions): Promise<CallerResult> {
    try {
      const answer = await send(`http://${plan.address}/v1/chat/completions`, {
        method: 'POST',
        headers: headersOf(plan.request, plan.key),
        body: JSON.stringify({
          model: plan.model,
          messages: [{role: 'user', content: plan.prompt}],
          max_tokens: plan.maximumTokens,
          stream: true,
        }),
        signal: plan.signal,
      });
      if (answer.statusCode !== okStatus) return readFailure(answer);
      return await this.readEvents(plan, answer);
    } catch {
      return cutResult;
    }
  }

  private async readEvents(
    plan: StreamOptions,
    answer: Dispatcher.ResponseData,
  ): Promise<CallerResult> {
    let tokens = 0;
    let result: CallerResult = cutResult;
    const parser = createParser({
      onEvent: ({data}) => {
        if (data === '[DONE]') {
          result = {
            status: okStatus,
            code: undefined,
            answer: {kind: 'whole', tokens},
          };
          return;
        }
        const event = JSON.parse(data) as StreamEvent;
        if ('error' in event) {
          result = failedResult(okStatus, event.error);
          return;
        }
        const text = event.choices[0]?.delta.content;
        if (text === undefined) return;
        const [madeFor, offset] = text.trim().split(':');
        this.recorder.delivered(plan.request, Number(offset), madeFor!);
        tokens += 1;
      },
    });
    const decoder = new TextDecoder();
    for await (const chunk of answer.body)
      parser.feed(decoder.decode(chunk as Buffer, {stream: true}));
    return result;
  }

  private async readCall(
    plan: CallOptions,
  ): Promise<CallerResult & {text: string}> {
    try {
      const headers = headersOf(plan.request, plan.key);
      if (plan.idempotencyKey !== undefined)
        headers['idempotency-key'] = plan.idempotencyKey;
      const answer = await send(`http://${plan.address}${plan.path}`, {
        method: 'POST',
        headers,
        body: '{}',
      });
      if (answer.statusCode >= firstErrorStatus)
        return {...(await readFailure(answer)), text: ''};
      const text = await answer.body.text();
      return {
        status: answer.statusCode,
        code: undefined,
        answer: {kind: 'whole', tokens: 0},
        text,
      };
    } catch {
      return {...cutResult, text: ''};
    }
  }
}

interface FailureBody {
  readonly code: string;
  readonly ran: ExecutionState;
}

type StreamEvent =
  | {readonly error: FailureBody}
  | {readonly choices: ReadonlyArray<{delta: {content?: string}}>};

const cutResult: CallerResult = {
  status: 0,
  code: undefined,
  answer: {kind: 'cut'},
};

async function readFailure(
  answer: Dispatcher.ResponseData,
): Promise<CallerResult> {
  const {error} = (await answer.body.json()) as {error: FailureBody};
  return failedResult(answer.statusCode, error);
}

function failedResult(status: number, {code, ran}: FailureBody): CallerResult {
  return {status, code, answer: {kind: 'failed', ran}};
}

function headersOf(request: string, key: string): Record<string, string> {
  return {
    authorization: `Bearer ${key}`,
    'content-type': 'application/json',
    'x-request-id': requestId(request),
  };
}
