/** Completion API responses, as one JSON body or as server-sent events. */

import {once} from 'node:events';
import type {
  CompletionEvent,
  CompletionRequest,
} from '@persimmonwick/coordination';
import type {FastifyReply} from 'fastify';
import type {CallRecord} from './call-record.js';
import {failureBody, ranHeader, sendFailure} from './failure-reply.js';

type FinishedEvent = Extract<CompletionEvent, {kind: 'finished'}>;

/** Collects the events and responds with a single JSON body. */
export async function sendJsonResponse(
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
        return reply.send(createCompletion(request, texts.join(''), event));
    }
  }
  return reply;
}

/**
 * Sends each token as a server-sent event. A failure before the first token
 * becomes an HTTP error response; a later one becomes the last event of the
 * stream.
 */
export async function sendStreamedResponse(
  reply: FastifyReply,
  request: CompletionRequest,
  events: AsyncIterable<CompletionEvent>,
  record: CallRecord,
) {
  const formatToken = createTokenFormatter(request);
  for await (const event of events) {
    if (reply.raw.destroyed) break;
    if (!reply.raw.headersSent) {
      if (event.kind === 'failed') return sendFailure(reply, event.failure);
      startStream(reply);
    }
    const data =
      event.kind === 'token'
        ? formatToken(event.text)
        : formatFinalEvent(request, event, record);
    await writeEvent(reply, data, record.signal);
    if (event.kind === 'finished')
      await writeEvent(reply, '[DONE]', record.signal);
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
    [ranHeader]: 'ran',
  });
}

async function writeEvent(
  reply: FastifyReply,
  data: string,
  interrupted: AbortSignal,
): Promise<void> {
  if (reply.raw.destroyed) return;
  if (reply.raw.write(`data: ${data}\n\n`)) return;
  // Waits until the caller has caught up before reading more from the engine.
  // Closing the reply interrupts the call, which ends the wait.
  if (interrupted.aborted) return;
  try {
    await once(reply.raw, 'drain', {signal: interrupted});
  } catch {
    // The call was interrupted; the next event carries the reason.
  }
}

/** Serialises the parts shared by all token chunks of a response once. */
function createTokenFormatter(
  request: CompletionRequest,
): (text: string) => string {
  const template = JSON.stringify(createChunk(request, {content: ''}, null));
  const contentStart = template.lastIndexOf('""');
  const prefix = template.slice(0, contentStart);
  const suffix = template.slice(contentStart + '""'.length);
  return text => `${prefix}${JSON.stringify(text)}${suffix}`;
}

/** Serialises the last event, and records the failure of a failed one. */
function formatFinalEvent(
  request: CompletionRequest,
  event: Exclude<CompletionEvent, {kind: 'token'}>,
  record: CallRecord,
): string {
  switch (event.kind) {
    case 'finished':
      return JSON.stringify({
        ...createChunk(request, {}, finishReason(request, event)),
        usage: usageOf(event),
      });
    case 'failed':
      return JSON.stringify(failureBody(record.recordFailure(event.failure)));
  }
}

function createChunk(
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

function createCompletion(
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
