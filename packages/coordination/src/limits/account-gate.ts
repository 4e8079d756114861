/** Admits the requests of one account at one host, in their order. */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {ClientAccountDocument} from '../generated/documents.js';
import type {AccountState} from './account-state.js';
import type {WaitingRequest} from './account-state.js';
import {AccountTokens} from './account-tokens.js';
import {refusal} from './admission.js';
import type {Admission, RateRefusal} from './admission.js';
import type {BucketHolder} from './bucket-holder.js';
import {
  overloadMemoryMilliseconds,
  refillWaitMilliseconds,
  returnAheadMilliseconds,
  returnIntervalMilliseconds,
} from './constants.js';
import type {GrantCollector} from './grant-collector.js';
import type {WritableLimiterCounters} from './limiter-counters.js';

/** Part of the tokens borrowed lately that is asked for ahead. */
const spareFraction = 0.3;

/** What the gates of one host share. */
export interface AccountGateParts {
  readonly clock: Clock;
  readonly holder: BucketHolder;
  readonly collector: GrantCollector;
  /** The account as configured now. */
  readonly documentOf: (
    state: AccountState,
  ) => ClientAccountDocument | undefined;
  readonly ended: AbortSignal;
  readonly counters: WritableLimiterCounters;
}

/** The gate of one account. */
export class AccountGate {
  private readonly tokens: AccountTokens;
  private waiting: WaitingRequest[] = [];
  private isServing = false;
  private serving: Promise<void> | undefined;
  private isReturning = false;
  private refusedAt = -Infinity;

  constructor(
    readonly state: AccountState,
    private readonly parts: AccountGateParts,
  ) {
    const {clock, holder, collector} = parts;
    this.tokens = new AccountTokens(state, clock, holder, collector);
  }

  /** True when nothing waits and nothing is borrowed. */
  get isIdle(): boolean {
    return !this.isServing && this.state.borrowed.isEmpty;
  }

  admit(
    tokens: number,
    signal: AbortSignal | undefined,
  ): Promise<Result<Admission, RateRefusal>> {
    this.state.usedAt = this.parts.clock.now();
    if (!this.isServing) {
      const admission = this.tokens.charge(tokens);
      if (admission !== undefined) {
        this.parts.counters.admittedImmediately += 1;
        return Promise.resolve(Result.ok(admission));
      }
    }
    return this.wait(tokens, signal);
  }

  /** Gives back all that is borrowed and not used. */
  giveBackAll(): void {
    this.tokens.giveBackExpiring(Infinity);
  }

  /** Refuses all that waits and gives back all that is borrowed. */
  async close(): Promise<void> {
    for (const waiting of this.waiting.splice(0))
      waiting.answer(Result.err(refusal('closed')));
    // Grants that are under way go back as well.
    await this.serving;
    this.giveBackAll();
  }

  private wait(
    tokens: number,
    signal: AbortSignal | undefined,
  ): Promise<Result<Admission, RateRefusal>> {
    return new Promise(resolve => {
      const waiting: WaitingRequest = {
        tokens,
        isAnswered: false,
        answer: result => {
          if (waiting.isAnswered) return;
          waiting.isAnswered = true;
          this.count(result);
          signal?.removeEventListener('abort', cancel);
          resolve(result);
        },
      };
      const cancel = () => waiting.answer(Result.err(refusal('cancelled')));
      signal?.addEventListener('abort', cancel, {once: true});
      this.waiting.push(waiting);
      if (!this.isServing) this.serving = this.serve();
    });
  }

  private count(result: Result<Admission, RateRefusal>): void {
    const {counters} = this.parts;
    if (result.isOk) counters.admittedAfterWait += 1;
    else counters.refused[result.error.reason] += 1;
  }

  private async serve(): Promise<void> {
    this.isServing = true;
    while (this.waiting.length > 0) {
      const batch = this.waiting;
      this.waiting = [];
      const left = await this.serveBatch(batch);
      for (const waiting of await this.retryAfterRefill(left))
        this.refuse(waiting);
      // What was collected in vain goes back at once.
      if (left.length > 0) this.giveBackAll();
    }
    this.isServing = false;
    if (!this.state.borrowed.isEmpty && !this.isReturning)
      void this.returnInTime();
  }

  /** Gives the requests for which there were too few tokens. */
  private async serveBatch(
    batch: readonly WaitingRequest[],
  ): Promise<WaitingRequest[]> {
    const unanswered = batch.filter(waiting => !waiting.isAnswered);
    await this.collectFor(unanswered);
    return unanswered.filter(waiting => !this.decide(waiting));
  }

  /** An account that stays above its rate gains nothing by waiting. */
  private async retryAfterRefill(
    left: WaitingRequest[],
  ): Promise<WaitingRequest[]> {
    const {clock, ended} = this.parts;
    const milliseconds = this.refillMilliseconds(left);
    const isOverloaded =
      clock.now() - this.refusedAt < overloadMemoryMilliseconds;
    if (isOverloaded || milliseconds > refillWaitMilliseconds) return left;
    this.giveBackAll();
    await clock.sleep(milliseconds, ended);
    return this.serveBatch(left);
  }

  private async collectFor(batch: readonly WaitingRequest[]): Promise<void> {
    const {collector, ended} = this.parts;
    const {state} = this;
    const now = this.parts.clock.now();
    const atHand = this.tokens.available();
    const needed = batch.reduce((sum, waiting) => sum + waiting.tokens, 0);
    const missing = needed - atHand;
    if (missing <= 0 || ended.aborted) return;
    const spare = state.recentlyBorrowed(now) * spareFraction;
    state.countBorrowed(missing, now);
    const smallest = Math.min(...batch.map(waiting => waiting.tokens));
    const useful = Math.max(0, smallest - atHand);
    await collector.collect(state, missing, useful, spare);
  }

  /** False when there are too few tokens. */
  private decide(waiting: WaitingRequest): boolean {
    if (waiting.isAnswered) return true;
    const document = this.parts.documentOf(this.state);
    if (this.parts.ended.aborted) {
      waiting.answer(Result.err(refusal('closed')));
    } else if (document === undefined) {
      waiting.answer(Result.err(refusal('unknown-account')));
    } else if (waiting.tokens > document.spec.burstTokens) {
      waiting.answer(Result.err(refusal('larger-than-burst')));
    } else {
      const admission = this.tokens.charge(waiting.tokens);
      if (admission === undefined) return false;
      waiting.answer(Result.ok(admission));
    }
    return true;
  }

  private refuse(waiting: WaitingRequest): void {
    this.refusedAt = this.parts.clock.now();
    const milliseconds = this.refillMilliseconds([waiting]);
    const retryAfterMilliseconds = Number.isFinite(milliseconds)
      ? milliseconds
      : 0;
    waiting.answer(
      Result.err({reason: 'rate-exceeded', retryAfterMilliseconds}),
    );
  }

  /** Time until the first of `requests` can be served; endless for none. */
  private refillMilliseconds(requests: readonly WaitingRequest[]): number {
    const [first] = requests;
    const spec = this.parts.documentOf(this.state)?.spec;
    const rate = (spec?.rateTokensPerSecond ?? 0) * this.state.totalFraction;
    if (first === undefined || rate === 0) return Infinity;
    const missing = first.tokens - this.tokens.available();
    return Math.max(1, Math.ceil((missing / rate) * 1_000));
  }

  /** Gives grants back before they expire, until none is left. */
  private async returnInTime(): Promise<void> {
    const {clock, ended} = this.parts;
    this.isReturning = true;
    while (!this.state.borrowed.isEmpty && !ended.aborted) {
      await clock.sleep(returnIntervalMilliseconds, ended);
      this.tokens.giveBackExpiring(clock.now() + returnAheadMilliseconds);
    }
    this.isReturning = false;
  }
}
