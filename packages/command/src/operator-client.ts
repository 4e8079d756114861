/** Client of the operators' server of a host. */

import {Result} from 'true-myth';
import {request} from 'undici';
import {exitStatus} from './command-context.js';
import type {CommandContext, HostOptions} from './command-context.js';

/**
 * Reason why a request to a host failed: `unreachable` for connection errors,
 * timeouts and malformed JSON, `refused` for a status of 400 or higher.
 */
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

const requestTimeoutMilliseconds = 5000;
const lowestErrorStatus = 400;

/** Requests `path` from the host at `address` and parses its JSON response. */
export async function requestFromHost<Body>(
  {address}: HostOptions,
  path: string,
  method: 'GET' | 'POST' = 'GET',
): Promise<Result<Body, OperatorError>> {
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      headersTimeout: requestTimeoutMilliseconds,
      bodyTimeout: requestTimeoutMilliseconds,
      signal: AbortSignal.timeout(requestTimeoutMilliseconds),
    });
    const text = await response.body.text();
    if (response.statusCode < lowestErrorStatus)
      return Result.ok(JSON.parse(text) as Body);
    const status = response.statusCode;
    return Result.err({kind: 'refused', status, message: errorMessageOf(text)});
  } catch (error) {
    const {code, message} = error as NodeJS.ErrnoException;
    return Result.err({kind: 'unreachable', address, reason: code ?? message});
  }
}

/** Prints the error and sets the exit status to `failed`. */
export function reportError(
  context: CommandContext,
  error: OperatorError,
): void {
  switch (error.kind) {
    case 'unreachable':
      context.printError(
        `no usable response from ${error.address}: ${error.reason}`,
      );
      break;
    case 'refused':
      context.printError(
        `the host responded with status ${error.status}: ${error.message}`,
      );
  }
  context.setExitStatus(exitStatus.failed);
}

function errorMessageOf(text: string): string {
  try {
    const body = JSON.parse(text) as {error?: {message?: unknown}};
    return String(body.error?.message ?? text);
  } catch {
    return text;
  }
}
