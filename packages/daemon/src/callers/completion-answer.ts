/** The answers of the completion API, whole or as server-sent events. */

import {once} from 'node:events';
import type {
  CompletionEvent,
  CompletionRequest,
} from '@persimmonwick/coordination';
import type {FastifyReply} from 'fastify';
import type {CallRecord} from './call-record.js';
import {failureBody, runStateHeader, sendFailure} from './failure-reply.js';

type FinishedEvent = Extract<CompletionEvent, {kind: 'finished'}>;

/** Collects the events and answers with one JSON body. */
export async function sendWholeAnswer(
  reply: FastifyReply,
  request: CompletionRequest,
  events: AsyncIterable<CompletionEvent>,
) {
  const texts: string[] = [];
  for await (const event of events) {
    switch (event.kind) {
      case 'token':
        texts.push(event.text);
        break;
      case 'failed':
        return sendFailure(reply, event.failure);
      case 'finished':
        return reply.send(wholeBody(request, texts.join(''), event));
    }
  }
  return reply;
}

/**
 * Sends each token as an event. Before the first token a failure has its HTTP
 * status; after it, a failure is an error event and then the end.
 */
export async function sendStreamedAnswer(
  reply: FastifyReply,
  request: CompletionRequest,
  events: AsyncIterable<CompletionEvent>,
  call: CallRecord,
) {
  const describeToken = tokenDescriber(request);
  for await (const event of events) {
    if (reply.raw.destroyed) break;
    if (!reply.raw.headersSent) {
      if (event.kind === 'failed') return sendFailure(reply, event.failure);
      startStream(reply);
    }
    const data =
      event.kind === 'token'
        ? describeToken(event.text)
        : describeEnd(request, event, call);
    await writeEvent(reply, data, call.signal);
    if (event.kind === 'finished')
      await writeEvent(reply, '[DONE]', call.signal);
  }
  if (reply.raw.headersSent) reply.raw.end();
  return reply;
}

function startStream(reply: FastifyReply): void {
  reply.hijack();
  reply.raw.writeHead(200, {
    ...(reply.getHeaders() as Record<string, string>),
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    [runStateHeader]: 'ran',
  });
}

async function writeEvent(
  reply: FastifyReply,
  data: string,
  interrupted: AbortSignal,
): Promise<void> {
  if (reply.raw.destroyed) return;
  if (reply.raw.write(`data: ${data}\n\n`)) return;
  // The engine is read no further until the caller has caught up. A reply that
  // closes interrupts its call.
  if (interrupted.aborted) return;
  try {
    await once(reply.raw, 'drain', {signal: interrupted});
  } catch {
    // The call was interrupted; its next event says why.
  }
}

/** Makes the parts that all tokens of an answer share only once. */
function tokenDescriber(request: CompletionRequest): (text: string) => string {
  const whole = JSON.stringify(chunk(request, {content: ''}, null));
  const contentAt = whole.lastIndexOf('""');
  const before = whole.slice(0, contentAt);
  const after = whole.slice(contentAt + '""'.length);
  return text => `${before}${JSON.stringify(text)}${after}`;
}

function describeEnd(
  request: CompletionRequest,
  event: Exclude<CompletionEvent, {kind: 'token'}>,
  call: CallRecord,
): string {
  switch (event.kind) {
    case 'finished':
      return JSON.stringify({
        ...chunk(request, {}, finishReason(request, event)),
        usage: usageOf(event),
      });
    case 'failed':
      return JSON.stringify(failureBody(call.fail(event.failure)));
  }
}

function chunk(
  request: CompletionRequest,
  delta: {content?: string},
  reason: string | null,
) {
  return {
    id: request.request,
    object: 'chat.completion.chunk',
    model: request.model,
    choices: [{index: 0, delta, finish_reason: reason}],
  };
}

function wholeBody(
  request: CompletionRequest,
  content: string,
  event: FinishedEvent,
) {
  const message = {role: 'assistant', content};
  return {
    id: request.request,
    object: 'chat.completion',
    model: request.model,
    choices: [{index: 0, message, finish_reason: finishReason(request, event)}],
    usage: usageOf(event),
  };
}

function finishReason(request: CompletionRequest, event: FinishedEvent) {
  return event.completionTokens >= request.maximumTokens ? 'length' : 'stop';
}

function usageOf(event: FinishedEvent) {
  return {
    prompt_tokens: event.promptTokens,
    completion_tokens: event.completionTokens,
    total_tokens: event.promptTokens + event.completionTokens,
  };
}
