/** A client that records its requests and the tokens and answers it receives. */

import {requestId} from '@persimmonwick/coordination';
import type {CallerAnswer, ExecutionState} from '@persimmonwick/coordination';
import {createParser} from 'eventsource-parser';
import {request as sendRequest} from 'undici';
import type {Dispatcher} from 'undici';
import type {RunRecorder} from './run-recorder.js';

/** The result of a request. */
export interface CallerResult {
  readonly status: number;
  readonly code: string | undefined;
  readonly answer: CallerAnswer;
}

/** Options of a streamed completion. The host name is only recorded. */
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

/**
 * Options of a call to a plain service. The host, account and route names are
 * only recorded.
 */
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

  /** Requests a streamed completion and reads it to the end. */
  async stream(options: StreamOptions): Promise<CallerResult> {
    this.recorder.recordReceived(options.request, options.host, options.key);
    const result = await this.sendStream(options);
    this.recorder.recordAnswered(options.request, result.answer);
    return result;
  }

  /** Sends a call to a plain service. */
  async call(options: CallOptions): Promise<CallerResult & {text: string}> {
    const {idempotencyKey, account, route} = options;
    this.recorder.recordReceived(
      options.request,
      options.host,
      options.key,
      idempotencyKey && {account, route, idempotencyKey},
    );
    const result = await this.sendCall(options);
    this.recorder.recordAnswered(options.request, result.answer);
    return result;
  }

  private async sendStream(options: StreamOptions): Promise<CallerResult> {
    try {
      const response = await sendRequest(
        `http://${options.address}/v1/chat/completions`,
        {
          method: 'POST',
          headers: headersOf(options.request, options.key),
          body: JSON.stringify({
            model: options.model,
            messages: [{role: 'user', content: options.prompt}],
            max_tokens: options.maximumTokens,
            stream: true,
          }),
          signal: options.signal,
        },
      );
      if (response.statusCode !== okStatus) return await readFailure(response);
      return await this.readEvents(options, response);
    } catch {
      return incompleteResult;
    }
  }

  private async readEvents(
    options: StreamOptions,
    response: Dispatcher.ResponseData,
  ): Promise<CallerResult> {
    let tokens = 0;
    let result: CallerResult = incompleteResult;
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
        // Fake engines produce the text `REQUEST:OFFSET ` for each token.
        const [sourceRequest, offset] = text.trim().split(':');
        this.recorder.recordDelivered(
          options.request,
          Number(offset),
          sourceRequest!,
        );
        tokens += 1;
      },
    });
    const decoder = new TextDecoder();
    for await (const chunk of response.body)
      parser.feed(decoder.decode(chunk as Buffer, {stream: true}));
    return result;
  }

  private async sendCall(
    options: CallOptions,
  ): Promise<CallerResult & {text: string}> {
    try {
      const headers = headersOf(options.request, options.key);
      if (options.idempotencyKey !== undefined)
        headers['idempotency-key'] = options.idempotencyKey;
      const answer = await sendRequest(
        `http://${options.address}${options.path}`,
        {
          method: 'POST',
          headers,
          body: '{}',
        },
      );
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
      return {...incompleteResult, text: ''};
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

/** The result of a request without a complete answer. */
const incompleteResult: CallerResult = {
  status: 0,
  code: undefined,
  answer: {kind: 'cut'},
};

async function readFailure(
  response: Dispatcher.ResponseData,
): Promise<CallerResult> {
  const {error} = (await response.body.json()) as {error: FailureBody};
  return failedResult(response.statusCode, error);
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
