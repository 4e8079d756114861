/**
 * Forwards calls of plain services. A small response is buffered completely
 * before it is passed on, which allows a retry after an interrupted response if
 * the route permits it.
 */

import {Result} from 'true-myth';
import type {PoolDocument} from '../generated/documents.js';
import {upstreamId} from '../ids.js';
import type {RequestFailure} from '../requests/failure.js';
import {
  callerDisconnected,
  noUpstream,
  notRunFailureOf,
  upstreamFailed,
  upstreamTimeout,
  withResumption,
} from './call-failures.js';
import type {
  RoutedCall,
  PassthroughResponse,
  PassthroughError,
} from './call.js';
import {
  InterruptedResponseError,
  mayHaveBeenSent,
  provesCallNotRun,
} from './call.js';
import {minBy} from './min-by.js';
import {retryLimitOf} from './retry-limit.js';
import {recordAttemptFailure} from './record-attempt-failure.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {choosePoolByWeight} from './passthrough-parts.js';
import {BaselineDuration} from './reference-time.js';
import type {TrackedUpstream} from './upstream-table.js';

type CallResult = Result<PassthroughResponse, RequestFailure>;

/** Responses up to this size are buffered before they are passed on. */
const maximumBufferedBytes = 1 << 20;

/** Lowest status that reports a failure of the upstream. */
const firstServerErrorStatus = 500;

/**
 * Timeout of an attempt while another one is allowed, as a multiple of the
 * first-token target.
 */
const responseTimeoutTargetFactor = 2;

/** The same timeout on a route without a first-token target. */
const defaultResponseTimeoutMilliseconds = 1000;

/**
 * An upstream in another failure domain is treated as having this many more
 * calls. Also the amplitude of the random tie-break.
 */
const remoteDomainPenaltyCalls = 0.5;

/** Outcome of the attempts of one call so far. */
interface CallProgress {
  readonly triedUpstreams: Set<string>;
  attempts: number;
  /**
   * Attempts that may have been sent. Once there is one, each retry uses the
   * retry budget.
   */
  sentAttempts: number;
  /** Attempts that may have run the call; limited by `maximumTries`. */
  possibleRuns: number;
  /** Complete response that reports a failure of the upstream. */
  serverErrorResponse: PassthroughResponse | undefined;
  lastError: PassthroughError | undefined;
}

export class PlainCallForwarder {
  private readonly baselineDurations = new Map<string, BaselineDuration>();

  constructor(private readonly parts: PassthroughParts) {}

  /** Forwards `call`. `signal` is aborted when the caller disconnects. */
  async forward(call: RoutedCall, signal: AbortSignal): Promise<CallResult> {
    const {random, retryBudget, observer, upstreams} = this.parts;
    const pool = choosePoolByWeight(call.route, random);
    if (pool === undefined) return Result.err(noUpstream);
    retryBudget.recordCall(pool.name);
    const progress: CallProgress = {
      triedUpstreams: new Set(),
      attempts: 0,
      sentAttempts: 0,
      possibleRuns: 0,
      serverErrorResponse: undefined,
      lastError: undefined,
    };
    while (!signal.aborted) {
      const limit = retryLimitOf(call, progress, this.parts.clock.now());
      const reason = progress.lastError?.kind ?? 'failed';
      if (limit !== undefined) {
        observer(call.id, {kind: 'retry-withheld', reason, limit});
        break;
      }
      const upstream = this.chooseUpstream(call, pool, progress.triedUpstreams);
      if (upstream === undefined) break;
      if (progress.attempts > 0) {
        if (progress.sentAttempts > 0 && !retryBudget.tryAcquire(pool.name)) {
          observer(call.id, {kind: 'retry-withheld', reason, limit: 'budget'});
          break;
        }
        observer(call.id, {kind: 'retried', reason, tries: progress.attempts});
      }
      const response = await this.sendAttempt(
        call,
        pool,
        upstream,
        progress,
        signal,
      );
      if (response !== undefined) return Result.ok(response);
    }
    if (progress.serverErrorResponse !== undefined)
      return Result.ok(progress.serverErrorResponse);
    const failure = failureOf(progress, signal);
    return Result.err(
      withResumption(failure, upstreams.remainingPauseOf(pool)),
    );
  }

  /**
   * Selects the least loaded upstream that was not tried yet. Falls back to
   * unusable upstreams if there is no other.
   */
  private chooseUpstream(
    call: RoutedCall,
    pool: PoolDocument,
    triedUpstreams: ReadonlySet<string>,
  ): TrackedUpstream | undefined {
    const {clock, upstreams, random, failureDomain, observer} = this.parts;
    const now = clock.now();
    const live = upstreams.acceptingOf(pool);
    const untried = live.filter(
      ({document}) => !triedUpstreams.has(document.name),
    );
    const usable = untried.filter(each => each.health.isUsable(now));
    const candidates = usable.length > 0 ? usable : untried;
    const scoreOf = ({document, localLoad, health}: TrackedUpstream) => {
      const domainPenalty =
        document.spec.failureDomain === failureDomain
          ? 0
          : remoteDomainPenaltyCalls;
      const calls =
        localLoad.calls + upstreams.reportedLoad(document.name).calls;
      const failurePenalty = 1 + 4 * health.failureShare(now);
      return (
        (calls + domainPenalty + 1) * health.slowness(now) * failurePenalty +
        random.next() * remoteDomainPenaltyCalls
      );
    };
    const chosen = minBy(candidates, scoreOf);
    if (chosen !== undefined)
      observer(call.id, {
        kind: 'chosen',
        purpose: 'run',
        upstream: chosen.document.name,
        candidates: candidates.length,
        load:
          chosen.localLoad.calls +
          upstreams.reportedLoad(chosen.document.name).calls,
        slowness: chosen.health.slowness(now),
        waited: now - call.arrivedAt,
      });
    return chosen;
  }

  /** Makes one attempt. A returned response ends the call. */
  private async sendAttempt(
    call: RoutedCall,
    pool: PoolDocument,
    upstream: TrackedUpstream,
    progress: CallProgress,
    signal: AbortSignal,
  ): Promise<PassthroughResponse | undefined> {
    const {clock, transport, upstreams, observer} = this.parts;
    const {repeatable, maximumTries} = call.route.target;
    const {name} = upstream.document;
    const startedAt = clock.now();
    const remainingMilliseconds = call.deadline - startedAt;
    const isLastAttempt =
      !repeatable || progress.possibleRuns + 1 >= maximumTries;
    progress.triedUpstreams.add(name);
    progress.attempts += 1;
    upstream.health.recordAttempt(startedAt);
    const load = upstreams.addLoad(upstream, {calls: 1});
    const result = await transport.send(
      upstream.document,
      call,
      {
        remainingMilliseconds,
        needsNewConnection: !repeatable,
        headersTimeoutMilliseconds: isLastAttempt
          ? remainingMilliseconds
          : Math.min(remainingMilliseconds, responseTimeoutOf(call)),
      },
      signal,
    );
    const response = result.isOk
      ? await bufferResponse(
          result.value,
          upstream,
          () => clock.now() > call.deadline,
        )
      : Result.err<PassthroughResponse, PassthroughError>(result.error);
    load.release();
    const now = clock.now();
    observer(call.id, {
      kind: 'stage-done',
      purpose: 'run',
      upstream: name,
      outcome: response.isOk
        ? String(response.value.status)
        : response.error.kind,
      took: now - startedAt,
    });
    if (response.isErr) {
      this.recordError(upstream, response.error, progress, now);
      return undefined;
    }
    progress.sentAttempts += 1;
    progress.possibleRuns += 1;
    const ratio = this.baselineDurationFor(pool).record(now - startedAt);
    upstream.health.recordDurationRatio(now, ratio);
    if (response.value.status < firstServerErrorStatus) {
      upstream.health.recordSuccess(now);
      return response.value;
    }
    upstream.health.recordFailure(now);
    progress.serverErrorResponse = response.value;
    return repeatable ? undefined : response.value;
  }

  private recordError(
    upstream: TrackedUpstream,
    error: PassthroughError,
    progress: CallProgress,
    now: number,
  ): void {
    progress.lastError = error;
    if (!provesCallNotRun(error)) progress.possibleRuns += 1;
    if (mayHaveBeenSent(error)) progress.sentAttempts += 1;
    recordAttemptFailure(upstream, error, now);
  }

  private baselineDurationFor({name}: PoolDocument): BaselineDuration {
    const existing = this.baselineDurations.get(name);
    if (existing !== undefined) return existing;
    const created = new BaselineDuration();
    this.baselineDurations.set(name, created);
    return created;
  }
}

function responseTimeoutOf({route}: RoutedCall): number {
  const {firstTokenTargetMilliseconds} = route;
  return firstTokenTargetMilliseconds === undefined
    ? defaultResponseTimeoutMilliseconds
    : firstTokenTargetMilliseconds * responseTimeoutTargetFactor;
}

function failureOf(
  {possibleRuns, attempts, lastError}: CallProgress,
  signal: AbortSignal,
): RequestFailure {
  if (signal.aborted)
    return attempts === 0
      ? {...callerDisconnected, ran: 'not-run'}
      : callerDisconnected;
  if (possibleRuns === 0) return notRunFailureOf(lastError);
  return lastError?.kind === 'silent' ? upstreamTimeout : upstreamFailed;
}

/**
 * Buffers the body of a response. A longer body is streamed after the buffered
 * part. One that keeps sending bytes without an end is given up when `isOverdue`.
 */
async function bufferResponse(
  response: PassthroughResponse,
  {document}: TrackedUpstream,
  isOverdue: () => boolean,
): Promise<Result<PassthroughResponse, PassthroughError>> {
  const iterator = response.body[Symbol.asyncIterator]();
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    while (size <= maximumBufferedBytes) {
      const {done, value} = await iterator.next();
      if (done === true)
        return Result.ok({...response, body: yieldChunks(chunks)});
      chunks.push(value);
      size += value.length;
      if (isOverdue()) {
        await iterator.return?.();
        return Result.err({
          kind: 'silent',
          upstream: upstreamId(document.name),
        });
      }
    }
  } catch (error) {
    if (!(error instanceof InterruptedResponseError)) throw error;
    return Result.err({kind: error.reason, upstream: error.upstream});
  }
  return Result.ok({...response, body: yieldChunksAndRest(chunks, iterator)});
}

async function* yieldChunks(chunks: Uint8Array[]): AsyncGenerator<Uint8Array> {
  yield* chunks;
}

async function* yieldChunksAndRest(
  chunks: Uint8Array[],
  iterator: AsyncIterator<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  try {
    yield* chunks;
    for (;;) {
      const {done, value} = await iterator.next();
      if (done === true) return;
      yield value;
    }
  } finally {
    await iterator.return?.();
  }
}
