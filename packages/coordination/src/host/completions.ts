/**
 * Runs completions within the rate limit of the account while the key is valid.
 */

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
import {rateLimitFailure} from '../requests/refusals.js';
import type {HostObserver} from './host.js';

/** A completion request with the hash of the key that authenticated it. */
export interface AuthenticatedCompletion extends CompletionRequest {
  /** Absent only on open routes. */
  readonly keyHash: KeyHash | undefined;
}

export interface CompletionsParts {
  readonly clock: Clock;
  readonly limiter: Limiter;
  readonly runner: CompletionRunner;
  readonly keyMonitor: KeyWithdrawalMonitor;
  readonly observer: HostObserver;
}

export class Completions {
  constructor(private readonly parts: CompletionsParts) {}

  /** Yields tokens in order, each once, and then one final event. */
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
      return yield {kind: 'failed', failure: rateLimitFailure(admission.error)};
    const admittedAt = clock.now();
    let chargedTokens = 0;
    try {
      for await (const event of this.runWhileKeyValid(
        request,
        keyHash,
        signal,
      )) {
        chargedTokens = chargedTokensAfter(chargedTokens, promptTokens, event);
        yield event;
      }
    } finally {
      admission.value.settle(chargedTokens);
      observer.tokensUsed?.(account, chargedTokens, admittedAt);
    }
  }

  private async *runWhileKeyValid(
    request: CompletionRequest,
    keyHash: KeyHash,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionEvent> {
    const {keyMonitor, runner} = this.parts;
    const registration = keyMonitor.register(
      keyHash,
      request.account,
      request.route,
    );
    const combinedSignal = AbortSignal.any([signal, registration.signal]);
    try {
      for await (const event of runner.run(request, combinedSignal)) {
        const isWithdrawn =
          event.kind === 'failed' && registration.signal.aborted;
        if (!isWithdrawn) yield event;
        else
          yield {kind: 'failed', failure: keyWithdrawnFailure(event.failure)};
      }
    } finally {
      registration.close();
    }
  }
}

/** Total tokens charged to the account once `event` has occurred. */
function chargedTokensAfter(
  chargedTokens: number,
  promptTokens: number,
  event: CompletionEvent,
): number {
  switch (event.kind) {
    case 'token':
      return Math.max(chargedTokens, promptTokens) + 1;
    case 'finished':
      return Math.max(chargedTokens, promptTokens);
    case 'failed':
      return event.failure.ran === 'not-run'
        ? chargedTokens
        : Math.max(chargedTokens, promptTokens);
  }
}

function keyWithdrawnFailure({ran}: RequestFailure): RequestFailure {
  return {
    code: 'key-withdrawn',
    message: 'the key of the request was withdrawn',
    ran,
  };
}
