/** Reading of a chat completion request. */

import {validateChatRequest} from '@persimmonwick/coordination';
import type {
  ChatMessage,
  ChatRequest,
  RequestFailure,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import {findUnservedField} from './unserved-fields.js';

const defaultMaximumTokens = 256;
const charactersPerToken = 4;

const decoder = new TextDecoder('utf8', {fatal: true});

/** Parses and checks the body of a chat completion request. */
export function parseChatRequest(
  body: Buffer | undefined,
): Result<ChatRequest, RequestFailure> {
  let value: unknown;
  try {
    value = JSON.parse(decoder.decode(body ?? Buffer.alloc(0)));
  } catch {
    return invalid('the body is not JSON in UTF-8');
  }
  if (validateChatRequest(value)) {
    const unserved = findUnservedField(
      value as unknown as Record<string, unknown>,
    );
    if (unserved !== undefined)
      return invalid(`the field ${unserved} is not served with this value`);
    return Result.ok(value as unknown as ChatRequest);
  }
  const error = validateChatRequest.errors![0]!;
  return invalid(`${error.instancePath || 'the body'} ${error.message}`);
}

/** The prompt that engines see for the messages of `chat`. */
export function promptOf(chat: ChatRequest): string {
  return chat.messages
    .map(({role, content}) => `${role}: ${textOf(content)}`)
    .join('\n');
}

function textOf(content: ChatMessage['content']): string {
  if (typeof content === 'string') return content;
  return content.map(({text}) => text).join('');
}

/** Tokens that a prompt is taken for until an engine has counted them. */
export function estimateTokens(prompt: string): number {
  return Math.ceil(prompt.length / charactersPerToken);
}

/** The greatest number of tokens that the answer may have. */
export function maximumTokensOf(chat: ChatRequest): number {
  return chat.max_completion_tokens ?? chat.max_tokens ?? defaultMaximumTokens;
}

function invalid(message: string): Result<ChatRequest, RequestFailure> {
  return Result.err({code: 'invalid-request', message, ran: 'not-run'});
}
