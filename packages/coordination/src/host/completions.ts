/** Completions inside the rate of their account and the life of their key. */

import type {Clock} from '../clock.js';
import type {KeyHash} from '../configuration/configuration.js';
import type {KeyWithdrawalMonitor} from '../configuration/key-withdrawal-monitor.js';
import type {Limiter} from '../limits/limiter.js';
import type {CompletionRunner} from '../placement/completion-runner.js';
import type {
  CompletionEvent,
  CompletionRequest,
} from '../requests/completion.js';
import type {RequestFailure} from '../requests/failure.js';
import {rateFailure} from '../requests/refusals.js';
import type {HostObserver} from './host.js';

/** A completion with the key that it came with. */
export interface AuthenticatedCompletion extends CompletionRequest {
  /** Absent only on routes open to all. */
  readonly keyHash: KeyHash | undefined;
}

export interface CompletionsParts {
  readonly clock: Clock;
  readonly limiter: Limiter;
  readonly runner: CompletionRunner;
  readonly keys: KeyWithdrawalMonitor;
  readonly observer: HostObserver;
}

export class Completions {
  constructor(private readonly parts: CompletionsParts) {}

  /** Yields tokens in order, each once, and then one closing event. */
  async *run(
    request: AuthenticatedCompletion,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionEvent> {
    const {clock, limiter, observer} = this.parts;
    const {account, keyHash, promptTokens, maximumTokens} = request;
    if (keyHash === undefined)
      return yield* this.parts.runner.run(request, signal);
    const cost = promptTokens + maximumTokens;
    const admission = await limiter.admit(account, cost, signal);
    if (admission.isErr)
      return yield {kind: 'failed', failure: rateFailure(admission.error)};
    const admittedAt = clock.now();
    let used = 0;
    try {
      for await (const event of this.runGuarded(request, keyHash, signal)) {
        used = usedTokens(used, promptTokens, event);
        yield event;
      }
    } finally {
      admission.value.settle(used);
      observer.tokensUsed?.(account, used, admittedAt);
    }
  }

  private async *runGuarded(
    request: CompletionRequest,
    keyHash: KeyHash,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionEvent> {
    const {keys, runner} = this.parts;
    const guard = keys.register(keyHash, request.account, request.route);
    const either = AbortSignal.any([signal, guard.signal]);
    try {
      for await (const event of runner.run(request, either)) {
        const isWithdrawn = event.kind === 'failed' && guard.signal.aborted;
        if (!isWithdrawn) yield event;
        else yield {kind: 'failed', failure: withdrawn(event.failure)};
      }
    } finally {
      guard.close();
    }
  }
}

/** Tokens that the account pays for, after `event`. */
function usedTokens(
  used: number,
  promptTokens: number,
  event: CompletionEvent,
): number {
  switch (event.kind) {
    case 'token':
      return Math.max(used, promptTokens) + 1;
    case 'finished':
      return Math.max(used, promptTokens);
    case 'failed':
      return event.failure.ran === 'not-run'
        ? used
        : Math.max(used, promptTokens);
  }
}

function withdrawn({ran}: RequestFailure): RequestFailure {
  return {
    code: 'key-withdrawn',
    message: 'the key of the request was withdrawn',
    ran,
  };
}
