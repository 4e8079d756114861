/** Parsing of chat completion requests. */

import {validateChatRequest} from '@persimmonwick/coordination';
import type {
  ChatMessage,
  ChatRequest,
  RequestFailure,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import {findUnsupportedField} from './unsupported-fields.js';

const defaultMaximumTokens = 256;
const charactersPerToken = 4;

const decoder = new TextDecoder('utf8', {fatal: true});

/** Parses and validates the body of a chat completion request. */
export function parseChatRequest(
  body: Buffer | undefined,
): Result<ChatRequest, RequestFailure> {
  let value: unknown;
  try {
    value = JSON.parse(decoder.decode(body ?? Buffer.alloc(0)));
  } catch {
    return invalidRequest('the body is not valid UTF-8 encoded JSON');
  }
  if (validateChatRequest(value)) {
    const unsupportedField = findUnsupportedField(
      value as unknown as Record<string, unknown>,
    );
    if (unsupportedField !== undefined)
      return invalidRequest(
        `the field ${unsupportedField} is not supported with this value`,
      );
    return Result.ok(value as unknown as ChatRequest);
  }
  const error = validateChatRequest.errors![0]!;
  return invalidRequest(`${error.instancePath || 'the body'} ${error.message}`);
}

/** Builds the engine prompt from the messages of `chat`. */
export function promptOf(chat: ChatRequest): string {
  return chat.messages
    .map(({role, content}) => `${role}: ${textOf(content)}`)
    .join('\n');
}

function textOf(content: ChatMessage['content']): string {
  if (typeof content === 'string') return content;
  return content.map(({text}) => text).join('');
}

/** Estimates the tokens of a prompt until an engine has counted them. */
export function estimateTokens(prompt: string): number {
  return Math.ceil(prompt.length / charactersPerToken);
}

/** Maximum number of completion tokens that the request allows. */
export function maximumTokensOf(chat: ChatRequest): number {
  return chat.max_completion_tokens ?? chat.max_tokens ?? defaultMaximumTokens;
}

function invalidRequest(message: string): Result<ChatRequest, RequestFailure> {
  return Result.err({code: 'invalid-request', message, ran: 'not-run'});
}
