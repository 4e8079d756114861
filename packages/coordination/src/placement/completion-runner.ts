/**
 * Runs completions: queues requests, places prefill and decode, transfers the
 * KV cache, streams tokens and retries after failures. Engine memory is freed
 * however a completion ends.
 */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {Configuration} from '../configuration/configuration.js';
import type {FailureDomainId} from '../ids.js';
import {attemptId, failureDomainId, upstreamId} from '../ids.js';
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
import type {HeldRetry} from '../passthrough/pool-retry-budget.js';
import {AbortScope} from './abort-scope.js';
import {AttemptCleaner} from './attempt-cleaner.js';
import type {AttemptRegistry} from './attempt-cleaner.js';
import {AttemptAdmission} from './attempt-admission.js';
import {AttemptRunner} from './attempt-runner.js';
import type {AttemptRunnerParts, CompletionProgress} from './attempt-runner.js';
import {createWordBlockHasher} from './cache-view.js';
import type {PromptBlockHasher} from './cache-view.js';
import {isVersionCertain} from './completion-origin.js';
import type {CompletionOrigin} from './completion-origin.js';
import {CompletionRetries} from './completion-retries.js';
import {Dispatcher} from './dispatcher.js';
import {EngineView} from './engine-view.js';
import type {EngineDirectory} from './engine-view.js';
import type {PlacedRequest} from './engine-candidates.js';
import {LinkView} from './link-view.js';
import {NextAttempts} from './next-attempt.js';
import type {
  AttemptResult,
  AttemptTokens,
  NextAttempt,
} from './next-attempt.js';
import {
  callerGoneFailure,
  deadlineExceededFailure,
  upstreamFailure,
} from './placement-failures.js';
import {defaultPolicy} from './placement-policy.js';
import type {PlacementPolicy} from './placement-policy.js';
import {Placer} from './placer.js';

export type {EngineDirectory} from './engine-view.js';

/** Dependencies and options of a runner. */
export interface CompletionRunnerParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly owner: RequestOwner;
  readonly engines: EngineDirectory;
  readonly configuration: () => Configuration;
  readonly makeAttemptId: () => string;
  /** The host's failure domain. Defaults to the one in the membership. */
  readonly failureDomain?: FailureDomainId;
  /**
   * Records each attempt from before it is sent until its cleanup has ended.
   */
  readonly ownedAttempts?: AttemptRegistry;
  readonly policy?: PlacementPolicy;
  /** Must compute the same block hashes as the engines. */
  readonly promptBlocks?: PromptBlockHasher;
  readonly blockTokens?: number;
  /** Time without a token after which a connection counts as silent. */
  readonly silenceMilliseconds?: number;
  /** Maximum number of queued requests per model and route target. */
  readonly queuedRequests?: number;
  /** See `CompletionRetries`; 0 for a host that has no earlier process. */
  readonly retryStartMilliseconds?: number;
}

const defaultBlockTokens = 2_000;
const defaultSilenceMilliseconds = 400;
/** Interval at which a completion that waits for a retry asks for one. */
const retryCheckIntervalMilliseconds = 250;

/** Why a completion stops before its attempt is complete. */
type StopReason = 'caller-gone' | 'deadline' | undefined;

export class CompletionRunner {
  private readonly retries: CompletionRetries;
  private readonly engineView: EngineView;
  private readonly links: LinkView;
  private readonly placer: Placer;
  private readonly dispatcher: Dispatcher;
  private readonly cleaner: AttemptCleaner;

  constructor(private readonly parts: CompletionRunnerParts) {
    const {clock, random, configuration, owner} = parts;
    this.retries = new CompletionRetries({
      clock,
      configuration,
      startMilliseconds: parts.retryStartMilliseconds ?? 0,
    });
    const policy = parts.policy ?? defaultPolicy;
    const blockTokens = parts.blockTokens ?? defaultBlockTokens;
    const dispatch = () => this.dispatcher.dispatch();
    this.engineView = new EngineView({...parts, host: owner.host});
    this.engineView.onReport = dispatch;
    this.links = new LinkView(configuration);
    this.cleaner = new AttemptCleaner(clock, parts.ownedAttempts);
    this.placer = new Placer({
      clock,
      random,
      configuration,
      view: this.engineView,
      links: this.links,
      policy,
      hashPromptBlocks:
        parts.promptBlocks ?? createWordBlockHasher(blockTokens),
      blockTokens,
      failureDomain: () => this.failureDomain(),
      onRelease: dispatch,
    });
    this.dispatcher = new Dispatcher({
      clock,
      configuration,
      placer: this.placer,
      refusesLateRequests: policy.kind === 'reserving',
      queuedRequests: parts.queuedRequests,
    });
  }

  /** Yields tokens in order, each once, and then one final event. */
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
      yield* this.runAttempts(request, signal, scope.signal);
    } finally {
      scope.close();
    }
  }

  /**
   * Polls the engines of the configuration, so that load reports exist before
   * the first requests. Resolves after `limitMilliseconds` at the latest.
   */
  warmUp(limitMilliseconds: number): Promise<void> {
    return this.engineView.warmUp(limitMilliseconds);
  }

  /** Stops polling engines and waits for pending cancellations. */
  async close(): Promise<void> {
    await this.engineView.close();
    await this.cleaner.close();
  }

  private async *runAttempts(
    request: CompletionRequest,
    callerSignal: AbortSignal,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionEvent> {
    const progress: CompletionProgress = {
      promptTokens: request.promptTokens,
      deliveredTokens: 0,
      isDecodeStarted: false,
      origin: undefined,
    };
    const attemptAdmission = new AttemptAdmission(
      {
        dispatcher: this.dispatcher,
        retries: this.retries,
        configuration: this.parts.configuration,
      },
      request,
      progress,
      this.parts.clock.now(),
    );
    const attempts = this.createAttempts(request, attemptAdmission, progress);
    let lastError: UpstreamError | undefined;
    let next: NextAttempt | undefined;
    for (;;) {
      const admission: Result<NextAttempt, RequestFailure> =
        next === undefined
          ? (await attemptAdmission.admit(lastError !== undefined, signal)).map(
              placement => attempts.onPlacement(placement, signal),
            )
          : Result.ok(next);
      const stopReason = stopReasonOf(callerSignal, signal);
      if (admission.isErr || stopReason !== undefined) {
        if (admission.isOk) admission.value.close();
        const failure = failureOf(stopReason, progress, admission, lastError);
        yield {kind: 'failed', failure};
        return;
      }
      const result = yield* deliver(admission.value.run(), progress);
      if (result.kind === 'complete') {
        this.retries.recordCompletion();
        const {promptTokens, deliveredTokens} = progress;
        yield {
          kind: 'finished',
          promptTokens,
          completionTokens: deliveredTokens,
        };
        return;
      }
      lastError = result.error;
      next = this.takeOver(result, progress);
      if (next !== undefined) continue;
      const retry = await this.acquireRetry(request, progress, signal);
      retry?.use();
      if (retry === undefined) {
        const failure = failureOf(
          stopReasonOf(callerSignal, signal),
          progress,
          admission,
          lastError,
        );
        yield {kind: 'failed', failure};
        return;
      }
    }
  }

  /**
   * Sets a retry aside. A completion that has begun waits for one as long as engines
   * of its version are published, because its caller would lose the tokens elsewhere.
   */
  private async acquireRetry(
    request: CompletionRequest,
    progress: CompletionProgress,
    signal: AbortSignal,
  ): Promise<HeldRetry | undefined> {
    while (!signal.aborted) {
      const retry = this.retries.tryAcquire();
      if (retry !== undefined || !this.canWait(request, progress)) return retry;
      await this.parts.clock.sleep(retryCheckIntervalMilliseconds, signal);
    }
    return undefined;
  }

  private canWait(
    request: CompletionRequest,
    progress: CompletionProgress,
  ): boolean {
    const {origin} = progress;
    if (origin === undefined) return false;
    const placed = placedRequestOf(request, progress);
    return (
      isVersionCertain(this.parts.configuration(), origin) &&
      this.placer.candidates.availability(placed) !== 'absent'
    );
  }

  /** The attempt that replaces another one, if it may still go on with the text. */
  private takeOver(
    result: AttemptResult,
    {origin}: CompletionProgress,
  ): NextAttempt | undefined {
    if (result.kind !== 'replaced') return undefined;
    const configuration = this.parts.configuration();
    if (origin === undefined || isVersionCertain(configuration, origin))
      return result.next;
    result.next.close();
    return undefined;
  }

  private createAttempts(
    request: CompletionRequest,
    admission: AttemptAdmission,
    progress: CompletionProgress,
  ): NextAttempts {
    const parts: AttemptRunnerParts = {
      clock: this.parts.clock,
      placer: this.placer,
      links: this.links,
      cleaner: this.cleaner,
      silenceMilliseconds:
        this.parts.silenceMilliseconds ?? defaultSilenceMilliseconds,
      configuration: this.parts.configuration,
    };
    return new NextAttempts({
      admission,
      run: (placement, findNext, signal) => {
        request.observer?.dequeued();
        return new AttemptRunner(
          parts,
          placedRequestOf(request, progress),
          this.createAttempt(request),
          placement,
          progress,
          findNext,
        ).run(signal);
      },
    });
  }

  private createAttempt({request}: CompletionRequest): EngineAttempt {
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

function placedRequestOf(
  request: CompletionRequest,
  {origin}: CompletionProgress,
): PlacedRequest {
  return origin === undefined
    ? request
    : {...request, requiredVersion: origin.softwareVersion};
}

/** Yields the tokens of an attempt that the caller has not received yet. */
async function* deliver(
  tokens: AttemptTokens,
  progress: CompletionProgress,
): AsyncGenerator<CompletionEvent, AttemptResult> {
  try {
    for (;;) {
      const item = await tokens.next();
      if (item.done === true) return item.value;
      const {offset, text, origin} = item.value;
      if (offset < progress.deliveredTokens) continue;
      progress.origin ??= origin;
      if (origin.softwareVersion !== progress.origin.softwareVersion)
        return {kind: 'failed', error: malformedError(origin)};
      progress.deliveredTokens += 1;
      yield {kind: 'token', offset, text};
    }
  } finally {
    await tokens.return({kind: 'complete'});
  }
}

/** The error of tokens that another software version has written. */
function malformedError({upstream}: CompletionOrigin): UpstreamError {
  return {kind: 'malformed', upstream: upstreamId(upstream)};
}

function stopReasonOf(
  callerSignal: AbortSignal,
  signal: AbortSignal,
): StopReason {
  if (callerSignal.aborted) return 'caller-gone';
  return signal.aborted ? 'deadline' : undefined;
}

/**
 * The failure of a completion. A refused retry is reported as the error of the
 * attempt before it.
 */
function failureOf(
  stopReason: StopReason,
  progress: CompletionProgress,
  admission: Result<NextAttempt, RequestFailure>,
  error: UpstreamError | undefined,
): RequestFailure {
  const ran = executionStateOf(progress);
  switch (stopReason) {
    case 'caller-gone':
      return callerGoneFailure(ran);
    case 'deadline':
      return deadlineExceededFailure(ran);
    case undefined:
      if (
        admission.isErr &&
        (error === undefined || admission.error.code === 'stream-not-resumable')
      )
        return {...admission.error, ran};
      return upstreamFailure(error!, ran);
  }
}

/**
 * Prefill alone produces no response; a decode that was started may have run.
 */
function executionStateOf(progress: CompletionProgress): ExecutionState {
  if (progress.deliveredTokens > 0) return 'ran';
  return progress.isDecodeStarted ? 'unknown' : 'not-run';
}
