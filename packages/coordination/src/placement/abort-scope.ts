/** Signals and calls that end with their parent, or after a time. */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {UpstreamId} from '../ids.js';
import type {UpstreamError} from '../upstreams/engine.js';

/** The reason of signals that end because their work is over. */
class ScopeEnded extends Error {
  override readonly name = 'ScopeEnded';
}

/** Shared, because making an error for each call costs more than the call. */
const scopeEnded = new ScopeEnded('the work is over');

/** A signal that follows its parent until it is closed. */
export class AbortScope {
  private readonly controller = new AbortController();
  private readonly follow = () => this.controller.abort(scopeEnded);

  constructor(private readonly parent: AbortSignal) {
    if (parent.aborted) this.follow();
    else parent.addEventListener('abort', this.follow, {once: true});
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  abort(): void {
    this.controller.abort(scopeEnded);
  }

  /** Aborts the scope and lets go of the parent. */
  close(): void {
    this.parent.removeEventListener('abort', this.follow);
    this.controller.abort(scopeEnded);
  }
}

/** Makes one call of an upstream and gives up on it after a time. */
export async function callWithin<Value>(
  clock: Clock,
  milliseconds: number,
  parent: AbortSignal,
  upstream: UpstreamId,
  call: (signal: AbortSignal) => Promise<Result<Value, UpstreamError>>,
): Promise<Result<Value, UpstreamError>> {
  const scope = new AbortScope(parent);
  let isExpired = false;
  void clock.sleep(milliseconds, scope.signal).then(() => {
    if (scope.signal.aborted) return;
    isExpired = true;
    scope.abort();
  });
  const result = await call(scope.signal);
  scope.close();
  if (result.isErr && isExpired && !parent.aborted)
    return Result.err({kind: 'silent', upstream});
  return result;
}
