/**
 * Runs completions: queues them, places prefill and decode, moves the KV cache,
 * hands tokens on and starts again after failures. Whatever way a completion
 * ends, no engine keeps memory for it.
 */

import type {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {Configuration} from '../configuration/configuration.js';
import type {FailureDomainId} from '../ids.js';
import {attemptId, failureDomainId} from '../ids.js';
import type {RandomSource} from '../random.js';
import type {
  CompletionEvent,
  CompletionRequest,
} from '../requests/completion.js';
import type {RequestFailure, ExecutionState} from '../requests/failure.js';
import type {
  EngineAttempt,
  RequestOwner,
  UpstreamError,
} from '../upstreams/engine.js';
import {AbortScope} from './abort-scope.js';
import {AttemptCleaner} from './attempt-cleaner.js';
import type {OwnedAttempts} from './attempt-cleaner.js';
import {AttemptRunner} from './attempt-runner.js';
import type {CompletionProgress} from './attempt-runner.js';
import {createWordBlockHasher} from './cache-view.js';
import type {PromptBlockHasher} from './cache-view.js';
import {Dispatcher} from './dispatcher.js';
import {EngineView} from './engine-view.js';
import type {EngineDirectory} from './engine-view.js';
import {LinkView} from './link-view.js';
import {
  callerGone,
  deadlinePassed,
  upstreamFailed,
} from './placement-failures.js';
import type {Placement} from './placement.js';
import {defaultPolicy} from './placement-policy.js';
import type {PlacementPolicy} from './placement-policy.js';
import {Placer} from './placer.js';
import {RetryBudget} from './retry-budget.js';

export type {EngineDirectory} from './engine-view.js';

/** What a runner works with. */
export interface CompletionRunnerParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly owner: RequestOwner;
  readonly engines: EngineDirectory;
  readonly configuration: () => Configuration;
  readonly makeAttemptId: () => string;
  /** The host's failure domain; taken from the membership when absent. */
  readonly failureDomain?: FailureDomainId;
  /** Told of each attempt before an engine sees it. */
  readonly ownedAttempts?: OwnedAttempts;
  readonly policy?: PlacementPolicy;
  /** Names cache blocks as the engines do. */
  readonly promptBlocks?: PromptBlockHasher;
  readonly blockTokens?: number;
  /** Time without a token after which a connection is suspect. */
  readonly silenceMilliseconds?: number;
  /** Requests that may wait for one set of engines. */
  readonly queuedRequests?: number;
}

const defaultBlockTokens = 2_000;
const defaultSilenceMilliseconds = 400;

/** Why a completion stops before its engines are done. */
type Ending = 'caller-gone' | 'deadline' | undefined;

export class CompletionRunner {
  private readonly budget = new RetryBudget();
  private readonly view: EngineView;
  private readonly links: LinkView;
  private readonly placer: Placer;
  private readonly dispatcher: Dispatcher;
  private readonly cleaner: AttemptCleaner;

  constructor(private readonly parts: CompletionRunnerParts) {
    const {clock, random, configuration, owner} = parts;
    const policy = parts.policy ?? defaultPolicy;
    const blockTokens = parts.blockTokens ?? defaultBlockTokens;
    const pump = () => this.dispatcher.pump();
    this.view = new EngineView({...parts, host: owner.host});
    this.view.onReport = pump;
    this.links = new LinkView(configuration);
    this.cleaner = new AttemptCleaner(clock, parts.ownedAttempts);
    this.placer = new Placer({
      clock,
      random,
      configuration,
      view: this.view,
      links: this.links,
      policy,
      promptBlocks: parts.promptBlocks ?? createWordBlockHasher(blockTokens),
      blockTokens,
      failureDomain: () => this.failureDomain(),
      onRelease: pump,
    });
    this.dispatcher = new Dispatcher({
      clock,
      configuration,
      placer: this.placer,
      isReserving: policy.kind === 'reserving',
      queuedRequests: parts.queuedRequests,
    });
  }

  /** Yields tokens in order, each once, and then one closing event. */
  async *run(
    request: CompletionRequest,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionEvent> {
    const {clock} = this.parts;
    const scope = new AbortScope(signal);
    void clock
      .sleep(request.deadline - clock.now(), scope.signal)
      .then(() => scope.abort());
    try {
      yield* this.runWithin(request, signal, scope.signal);
    } finally {
      scope.close();
    }
  }

  /**
   * Reads the engines of the configuration, so that the first requests do not
   * find unknown ones; ends after `limitMilliseconds` at the latest.
   */
  warmUp(limitMilliseconds: number): Promise<void> {
    return this.view.warmUp(limitMilliseconds);
  }

  /** Stops reading engines, after every cancel has been tried. */
  async close(): Promise<void> {
    await this.view.close();
    await this.cleaner.close();
  }

  private async *runWithin(
    request: CompletionRequest,
    caller: AbortSignal,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionEvent> {
    const progress: CompletionProgress = {
      promptTokens: request.promptTokens,
      delivered: 0,
      isDecodeStarted: false,
    };
    const arrivedAt = this.parts.clock.now();
    this.budget.deposit();
    let lastError: UpstreamError | undefined;
    for (;;) {
      const admission = await this.dispatcher.admit(
        {...request, promptTokens: progress.promptTokens},
        {
          arrivedAt,
          delivered: progress.delivered,
          isRetry: lastError !== undefined,
        },
        signal,
      );
      const ending = endingOf(caller, signal);
      if (admission.isErr || ending !== undefined) {
        if (admission.isOk) admission.value.close();
        const failure = failureOf(ending, progress, admission, lastError);
        yield {kind: 'failed', failure};
        return;
      }
      request.observer?.dequeued();
      const attempt = new AttemptRunner(
        {
          clock: this.parts.clock,
          placer: this.placer,
          links: this.links,
          cleaner: this.cleaner,
          silenceMilliseconds:
            this.parts.silenceMilliseconds ?? defaultSilenceMilliseconds,
        },
        request,
        this.nameAttempt(request),
        admission.value,
        progress,
      );
      const end = yield* attempt.run(signal);
      if (end.kind === 'complete') {
        const {promptTokens, delivered} = progress;
        yield {kind: 'finished', promptTokens, completionTokens: delivered};
        return;
      }
      lastError = end.error;
      const reason = endingOf(caller, signal);
      if (reason !== undefined || !this.budget.withdraw()) {
        const failure = failureOf(reason, progress, admission, lastError);
        yield {kind: 'failed', failure};
        return;
      }
    }
  }

  private nameAttempt({request}: CompletionRequest): EngineAttempt {
    return {
      request,
      attempt: attemptId(this.parts.makeAttemptId()),
      owner: this.parts.owner,
    };
  }

  private failureDomain(): FailureDomainId | undefined {
    const {failureDomain, configuration, owner} = this.parts;
    if (failureDomain !== undefined) return failureDomain;
    const member = configuration().membership?.spec.members.find(
      ({host}) => host === owner.host,
    );
    return member && failureDomainId(member.failureDomain);
  }
}

function endingOf(caller: AbortSignal, signal: AbortSignal): Ending {
  if (caller.aborted) return 'caller-gone';
  return signal.aborted ? 'deadline' : undefined;
}

function failureOf(
  ending: Ending,
  progress: CompletionProgress,
  admission: Result<Placement, RequestFailure>,
  error: UpstreamError | undefined,
): RequestFailure {
  const ran = runStateOf(progress);
  switch (ending) {
    case 'caller-gone':
      return callerGone(ran);
    case 'deadline':
      return deadlinePassed(ran);
    case undefined:
      if (admission.isErr && error === undefined)
        return {...admission.error, ran};
      return upstreamFailed(error!, ran);
  }
}

/** A prefill alone makes no answer; a decode that was asked for may have. */
function runStateOf(progress: CompletionProgress): ExecutionState {
  if (progress.delivered > 0) return 'ran';
  return progress.isDecodeStarted ? 'unknown' : 'not-run';
}
