/** Asks the operators' server of a host. */

import {Result} from 'true-myth';
import {request} from 'undici';
import {exitStatus} from './command-context.js';
import type {CommandContext, HostOptions} from './command-context.js';

/** Why a host gave no usable answer. */
export type OperatorError =
  | {
      readonly kind: 'unreachable';
      readonly address: string;
      readonly reason: string;
    }
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly message: string;
    };

const timeoutMilliseconds = 5000;
const firstErrorStatus = 400;

/** The JSON answer of `path` at the host that the options name. */
export async function askHost<Answer>(
  {address}: HostOptions,
  path: string,
  method: 'GET' | 'POST' = 'GET',
): Promise<Result<Answer, OperatorError>> {
  try {
    const answer = await request(`http://${address}${path}`, {
      method,
      headersTimeout: timeoutMilliseconds,
      bodyTimeout: timeoutMilliseconds,
      signal: AbortSignal.timeout(timeoutMilliseconds),
    });
    const text = await answer.body.text();
    if (answer.statusCode < firstErrorStatus)
      return Result.ok(JSON.parse(text) as Answer);
    const status = answer.statusCode;
    return Result.err({kind: 'refused', status, message: messageOf(text)});
  } catch (error) {
    const {code, message} = error as NodeJS.ErrnoException;
    return Result.err({kind: 'unreachable', address, reason: code ?? message});
  }
}

/** Says why a host gave no answer, and ends the command. */
export function reportError(
  context: CommandContext,
  error: OperatorError,
): void {
  switch (error.kind) {
    case 'unreachable':
      context.complain(`no answer of ${error.address}: ${error.reason}`);
      break;
    case 'refused':
      context.complain(`the host answered ${error.status}: ${error.message}`);
  }
  context.end(exitStatus.failed);
}

function messageOf(text: string): string {
  try {
    const answer = JSON.parse(text) as {error?: {message?: unknown}};
    return String(answer.error?.message ?? text);
  } catch {
    return text;
  }
}
