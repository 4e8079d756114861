/**
 * Calls of plain services. An answer is read whole before it is passed on, so
 * that one that breaks off can be asked for again where the route allows it.
 */

import {Result} from 'true-myth';
import type {PoolDocument} from '../generated/documents.js';
import type {RequestFailure} from '../requests/failure.js';
import {
  callerGone,
  noUpstream,
  upstreamFailed,
  upstreamTimeout,
} from './call-failures.js';
import type {
  AdmittedCall,
  PassthroughAnswer,
  PassthroughError,
} from './call.js';
import {BrokenAnswerError, hasArrived, provesCallNotRun} from './call.js';
import {leastBy} from './least-by.js';
import {noteFailure} from './note-failure.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {drawPool} from './passthrough-parts.js';
import {ReferenceTime} from './reference-time.js';
import type {TrackedUpstream} from './upstream-table.js';

type Answer = Result<PassthroughAnswer, RequestFailure>;

/** Sendings of one call, refused ones included. */
const maximumSendings = 4;

/** Answers up to this size are read whole before they are passed on. */
const wholeAnswerBytes = 1 << 20;

/** First status of answers that say that the upstream failed. */
const firstFailureStatus = 500;

/** A repeatable call waits for so many times its target before a second try. */
const patienceTargets = 2;

/** Longest wait before the second try of a route without a target. */
const usualPatienceMilliseconds = 1000;

/** Load of another failure domain counts as so many more calls. */
const remoteCalls = 0.5;

/** What was learned from the sendings of one call so far. */
interface Progress {
  readonly tried: Set<string>;
  sendings: number;
  /** Sendings that reached an upstream; only these use up the retry budget. */
  arrivals: number;
  runs: number;
  /** Whole answer that says that the upstream failed. */
  failureAnswer: PassthroughAnswer | undefined;
  lastError: PassthroughError | undefined;
}

export class PlainCalls {
  private readonly usualTimes = new Map<string, ReferenceTime>();

  constructor(private readonly parts: PassthroughParts) {}

  /** Runs `call`; `signal` is aborted when its caller has gone. */
  async run(call: AdmittedCall, signal: AbortSignal): Promise<Answer> {
    const {random, retryBudget: retries, observer} = this.parts;
    const pool = drawPool(call.route, random);
    if (pool === undefined) return Result.err(noUpstream);
    retries.countCall(pool.name);
    const progress: Progress = {
      tried: new Set(),
      sendings: 0,
      arrivals: 0,
      runs: 0,
      failureAnswer: undefined,
      lastError: undefined,
    };
    while (this.mayGoOn(call, progress, signal)) {
      const upstream = this.choose(call, pool, progress.tried);
      if (upstream === undefined) break;
      if (progress.sendings > 0) {
        const reason = progress.lastError?.kind ?? 'failed';
        if (progress.arrivals > 0 && !retries.tryTake(pool.name)) {
          observer(call.id, {kind: 'retry-withheld', reason});
          break;
        }
        observer(call.id, {kind: 'retried', reason, tries: progress.sendings});
      }
      const answer = await this.sendOnce(
        call,
        pool,
        upstream,
        progress,
        signal,
      );
      if (answer !== undefined) return Result.ok(answer);
    }
    if (progress.failureAnswer !== undefined)
      return Result.ok(progress.failureAnswer);
    return Result.err(failureOf(progress, signal));
  }

  private mayGoOn(
    call: AdmittedCall,
    progress: Progress,
    signal: AbortSignal,
  ): boolean {
    const {repeatable, maximumTries} = call.route.target;
    if (signal.aborted || this.parts.clock.now() >= call.deadline) return false;
    if (progress.sendings >= maximumSendings) return false;
    return progress.runs < (repeatable ? maximumTries : 1);
  }

  /** The usable upstream with the least load that was not tried yet. */
  private choose(
    call: AdmittedCall,
    pool: PoolDocument,
    tried: ReadonlySet<string>,
  ): TrackedUpstream | undefined {
    const {clock, upstreams, random, failureDomain, observer} = this.parts;
    const now = clock.now();
    const live = upstreams.liveOf(pool);
    const fresh = live.filter(({document}) => !tried.has(document.name));
    const usable = fresh.filter(each => each.health.isUsable(now));
    const candidates = usable.length > 0 ? usable : fresh;
    const costOf = ({document, own, health}: TrackedUpstream) => {
      const distance =
        document.spec.failureDomain === failureDomain ? 0 : remoteCalls;
      const calls = own.calls + upstreams.toldLoad(document.name).calls;
      const failing = 1 + 4 * health.failureShare(now);
      return (
        (calls + distance + 1) * health.slowness(now) * failing +
        random.next() * remoteCalls
      );
    };
    const chosen = leastBy(candidates, costOf);
    if (chosen !== undefined)
      observer(call.id, {
        kind: 'chosen',
        purpose: 'run',
        upstream: chosen.document.name,
        candidates: candidates.length,
        load: chosen.own.calls + upstreams.toldLoad(chosen.document.name).calls,
        slowness: chosen.health.slowness(now),
        waited: now - call.arrivedAt,
      });
    return chosen;
  }

  /** Sends once; a result ends the call. */
  private async sendOnce(
    call: AdmittedCall,
    pool: PoolDocument,
    upstream: TrackedUpstream,
    progress: Progress,
    signal: AbortSignal,
  ): Promise<PassthroughAnswer | undefined> {
    const {clock, transport, upstreams, observer} = this.parts;
    const {repeatable, maximumTries} = call.route.target;
    const {name} = upstream.document;
    const startedAt = clock.now();
    const remainingMilliseconds = call.deadline - startedAt;
    const isLast = !repeatable || progress.runs + 1 >= maximumTries;
    progress.tried.add(name);
    progress.sendings += 1;
    upstream.health.recordStart(startedAt);
    const load = upstreams.addLoad(upstream, {calls: 1});
    const sent = await transport.send(
      upstream.document,
      call,
      {
        remainingMilliseconds,
        needsNewConnection: !repeatable,
        headersTimeoutMilliseconds: isLast
          ? remainingMilliseconds
          : Math.min(remainingMilliseconds, patienceOf(call)),
      },
      signal,
    );
    const answer = sent.isOk
      ? await readWhole(sent.value)
      : Result.err<PassthroughAnswer, PassthroughError>(sent.error);
    load.end();
    const now = clock.now();
    observer(call.id, {
      kind: 'stage-done',
      purpose: 'run',
      upstream: name,
      outcome: answer.isOk ? String(answer.value.status) : answer.error.kind,
      took: now - startedAt,
    });
    if (answer.isErr) {
      this.noteError(upstream, answer.error, progress, now);
      return undefined;
    }
    progress.arrivals += 1;
    progress.runs += 1;
    const ratio = this.usualTimeOf(pool).observe(now - startedAt);
    upstream.health.recordTime(now, ratio);
    if (answer.value.status < firstFailureStatus) {
      upstream.health.recordSuccess(now);
      return answer.value;
    }
    upstream.health.recordFailure(now);
    progress.failureAnswer = answer.value;
    return repeatable ? undefined : answer.value;
  }

  private noteError(
    upstream: TrackedUpstream,
    error: PassthroughError,
    progress: Progress,
    now: number,
  ): void {
    progress.lastError = error;
    if (!provesCallNotRun(error)) progress.runs += 1;
    if (hasArrived(error)) progress.arrivals += 1;
    noteFailure(upstream, error, now);
  }

  private usualTimeOf({name}: PoolDocument): ReferenceTime {
    const known = this.usualTimes.get(name);
    if (known !== undefined) return known;
    const made = new ReferenceTime();
    this.usualTimes.set(name, made);
    return made;
  }
}

function patienceOf({route}: AdmittedCall): number {
  const {targetMilliseconds} = route;
  return targetMilliseconds === undefined
    ? usualPatienceMilliseconds
    : targetMilliseconds * patienceTargets;
}

function failureOf(
  {runs, sendings, lastError}: Progress,
  signal: AbortSignal,
): RequestFailure {
  if (signal.aborted)
    return sendings === 0 ? {...callerGone, ran: 'not-run'} : callerGone;
  if (runs === 0) return noUpstream;
  return lastError?.kind === 'silent' ? upstreamTimeout : upstreamFailed;
}

/** The answer with its whole body; longer ones are passed on as they come. */
async function readWhole(
  answer: PassthroughAnswer,
): Promise<Result<PassthroughAnswer, PassthroughError>> {
  const iterator = answer.body[Symbol.asyncIterator]();
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    while (size <= wholeAnswerBytes) {
      const {done, value} = await iterator.next();
      if (done === true) return Result.ok({...answer, body: bodyOf(chunks)});
      chunks.push(value);
      size += value.length;
    }
  } catch (error) {
    if (!(error instanceof BrokenAnswerError)) throw error;
    return Result.err({kind: error.reason, upstream: error.upstream});
  }
  return Result.ok({...answer, body: continued(chunks, iterator)});
}

async function* bodyOf(chunks: Uint8Array[]): AsyncGenerator<Uint8Array> {
  yield* chunks;
}

async function* continued(
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
