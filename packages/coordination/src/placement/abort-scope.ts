/** Abort signals linked to a parent signal, and calls with a timeout. */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {UpstreamId} from '../ids.js';
import type {UpstreamError} from '../upstreams/engine.js';

/** Abort reason of all scopes. */
class ScopeClosedError extends Error {
  override readonly name = 'ScopeClosedError';
}

/**
 * Shared, because creating an error with its stack trace for each call costs
 * more than the call.
 */
const scopeClosedError = new ScopeClosedError(
  'the call was aborted or its scope was closed',
);

/**
 * Owns a signal that is aborted when the parent is aborted or when `abort` or
 * `close` is called. `close` also removes the listener from the parent.
 */
export class AbortScope {
  private readonly controller = new AbortController();
  private readonly abortWithParent = () =>
    this.controller.abort(scopeClosedError);

  constructor(private readonly parent: AbortSignal) {
    if (parent.aborted) this.abortWithParent();
    else parent.addEventListener('abort', this.abortWithParent, {once: true});
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  abort(): void {
    this.controller.abort(scopeClosedError);
  }

  /** Aborts the signal and removes the listener from the parent. */
  close(): void {
    this.parent.removeEventListener('abort', this.abortWithParent);
    this.controller.abort(scopeClosedError);
  }
}

/**
 * A timer that fires later than this shows that the process itself stood still,
 * so that it proves nothing about the other side.
 */
export const lateTimerMilliseconds = 100;

/** Times that a timeout starts anew because its timer fired late. */
const maximumRestartsOfTimeout = 3;

/** Sleeps for `milliseconds` in which the process did not stand still. */
async function sleepWhileRunning(
  clock: Clock,
  milliseconds: number,
  signal: AbortSignal,
): Promise<void> {
  for (let restarts = 0; !signal.aborted; restarts += 1) {
    const wakesAt = clock.now() + milliseconds;
    await clock.sleep(milliseconds, signal);
    const isLate = clock.now() - wakesAt > lateTimerMilliseconds;
    if (!isLate || restarts >= maximumRestartsOfTimeout) return;
  }
}

/**
 * Calls an upstream and aborts the call after the timeout, which is reported as
 * a `silent` error.
 */
export async function callWithTimeout<Value>(
  clock: Clock,
  timeoutMilliseconds: number,
  parent: AbortSignal,
  upstream: UpstreamId,
  call: (signal: AbortSignal) => Promise<Result<Value, UpstreamError>>,
): Promise<Result<Value, UpstreamError>> {
  const scope = new AbortScope(parent);
  let hasTimedOut = false;
  const timeout = sleepWhileRunning(clock, timeoutMilliseconds, scope.signal);
  void timeout.then(() => {
    if (scope.signal.aborted) return;
    hasTimedOut = true;
    scope.abort();
  });
  const result = await call(scope.signal);
  scope.close();
  if (result.isErr && hasTimedOut && !parent.aborted)
    return Result.err({kind: 'silent', upstream});
  return result;
}
