/**
 * Runs one completion: places prefill and decode, moves the KV cache and hands
 * tokens on. Whatever way it ends, no engine keeps memory for it.
 */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {Configuration, Upstream} from '../configuration/configuration.js';
import {upstreamsOfPool} from '../configuration/configuration.js';
import {attemptId} from '../ids.js';
import {matchesSelector} from '../labels.js';
import type {RandomSource} from '../random.js';
import {randomBelow} from '../random.js';
import type {
  CompletionEvent,
  CompletionRequest,
} from '../requests/completion.js';
import type {RequestFailure} from '../requests/failure.js';
import type {
  Engine,
  EngineAttempt,
  RequestOwner,
  UpstreamError,
} from '../upstreams/engine.js';

/** Gives the engine behind an upstream. */
export interface EngineDirectory {
  engineOf(upstream: Upstream): Engine;
}

/** What a runner works with. */
export interface CompletionRunnerParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly owner: RequestOwner;
  readonly engines: EngineDirectory;
  readonly configuration: () => Configuration;
  readonly makeAttemptId: () => string;
}

const cancelTimeoutMilliseconds = 1000;

export class CompletionRunner {
  constructor(private readonly parts: CompletionRunnerParts) {}

  /** Yields tokens in order, each once, and then one closing event. */
  async *run(
    request: CompletionRequest,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionEvent> {
    const prefill = this.choose(request, 'prefill');
    const decode = this.choose(request, 'decode');
    if (prefill === undefined || decode === undefined) {
      yield {kind: 'failed', failure: noUpstream(request.model)};
      return;
    }
    const attempt: EngineAttempt = {
      request: request.request,
      attempt: attemptId(this.parts.makeAttemptId()),
      owner: this.parts.owner,
    };
    try {
      yield* this.runOn(request, attempt, prefill, decode, signal);
    } finally {
      await Promise.all([
        this.release(prefill, attempt),
        this.release(decode, attempt),
      ]);
    }
  }

  private async *runOn(
    request: CompletionRequest,
    attempt: EngineAttempt,
    prefill: Engine,
    decode: Engine,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionEvent> {
    const moved = await this.prefillAndMove(
      request,
      attempt,
      prefill,
      decode,
      signal,
    );
    if (moved.isErr) {
      yield {kind: 'failed', failure: failureOf(moved.error)};
      return;
    }
    const tokens = decode.decode(
      {
        ...attempt,
        maximumTokens: request.maximumTokens,
        offset: 0,
        priority: 0,
      },
      signal,
    );
    let completionTokens = 0;
    for await (const token of tokens) {
      if (token.isErr) {
        yield {kind: 'failed', failure: failureOf(token.error)};
        return;
      }
      yield {kind: 'token', offset: completionTokens, text: token.value.text};
      completionTokens += 1;
    }
    yield {
      kind: 'finished',
      promptTokens: moved.value,
      completionTokens,
    };
  }

  private async prefillAndMove(
    request: CompletionRequest,
    attempt: EngineAttempt,
    prefill: Engine,
    decode: Engine,
    signal: AbortSignal,
  ): Promise<Result<number, UpstreamError>> {
    const computed = await prefill.prefill(
      {
        ...attempt,
        model: request.model,
        account: request.account,
        cacheScope: request.account,
        prompt: request.prompt,
        priority: 0,
      },
      signal,
    );
    if (computed.isErr) return Result.err(computed.error);
    const moved = await decode.importCache(
      {
        ...attempt,
        sourceAddress: prefill.address,
        handle: computed.value.handle,
      },
      signal,
    );
    return moved.map(() => computed.value.promptTokens);
  }

  private choose(
    request: CompletionRequest,
    role: 'prefill' | 'decode',
  ): Engine | undefined {
    const {target} = request.route.spec;
    if (target.kind !== 'model') return undefined;
    const configuration = this.parts.configuration();
    const candidates = configuration.pools
      .filter(
        pool =>
          pool.spec.role === role &&
          pool.spec.model === request.model &&
          matchesSelector(target[role], pool.labels ?? {}),
      )
      .flatMap(pool => upstreamsOfPool(configuration, pool))
      .filter(upstream => upstream.spec.state !== 'leaving');
    const index = randomBelow(this.parts.random, candidates.length);
    const chosen = candidates[index];
    return chosen && this.parts.engines.engineOf(chosen);
  }

  private async release(engine: Engine, attempt: EngineAttempt): Promise<void> {
    const signal = AbortSignal.timeout(cancelTimeoutMilliseconds);
    await engine.cancel(attempt, signal);
  }
}

function noUpstream(model: string): RequestFailure {
  return {
    code: 'no-upstream',
    message: `no live upstream serves ${model}`,
    ran: 'not-run',
    retryAfterMilliseconds: 1000,
  };
}

function failureOf(error: UpstreamError): RequestFailure {
  return {
    code: error.kind === 'silent' ? 'upstream-timeout' : 'upstream-failed',
    message: `upstream ${error.upstream}: ${error.kind}`,
    ran: 'unknown',
  };
}
