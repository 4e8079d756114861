/**
 * Watches one attempt of a call. An attempt without progress may have failed, or
 * its upstream may only be slow, so it is kept until a replacement is available.
 */

import type {Clock} from './clock.js';
import {lateTimerMilliseconds} from './placement/abort-scope.js';

export interface StallMonitorParts<Replacement> {
  readonly clock: Clock;
  /**
   * Time without a sign of life after which a replacement is sought. Twice this
   * time may pass without progress. At most half of the time to the deadline.
   */
  readonly stallMilliseconds: number;
  /** Clock time from which a stalled attempt is given up without one. */
  readonly deadline: number;
  /**
   * Resolves with undefined if no replacement is available now. `signal` is
   * aborted when none is needed any more. After `commit`, progress of the attempt
   * does not end the search: the replacement already does the same work.
   */
  readonly findReplacement: (
    signal: AbortSignal,
    commit: () => void,
  ) => Promise<Replacement | undefined>;
  /** Time to read what arrived during a search; 50 ms if absent. */
  readonly graceMilliseconds?: number;
  /** Frees a replacement that was found too late. */
  readonly releaseReplacement: (replacement: Replacement) => void;
  /** Called when the attempt is given up, which `wait` may tell much later. */
  readonly onAbandoned?: (() => void) | undefined;
}

/** Why an attempt is to be given up. */
export type Abandonment<Replacement> =
  | {readonly kind: 'replaced'; readonly replacement: Replacement}
  /** The deadline has passed without progress. */
  | {readonly kind: 'overdue'};

/** What `wait` resolves with. */
export type MonitoredResult<Value, Replacement> =
  {readonly kind: 'ready'; readonly value: Value} | Abandonment<Replacement>;

/** Time between two searches for a replacement. */
const searchIntervalMilliseconds = 250;

/** Time to read what arrived while the process stood still. */
const defaultGraceMilliseconds = 50;

export class StallMonitor<Replacement> {
  private readonly closing = new AbortController();
  private readonly stallMilliseconds: number;
  private progressAt: number;
  /** Clock time of the last sign of life, progress or not. */
  private activityAt: number;
  private nextSearchAt = -Infinity;
  private search: AbortController | undefined;
  private finding: Promise<Replacement | undefined> | undefined;
  private isCommitted = false;
  /** Whether the search goes on for an attempt that has failed. */
  private isAdopted = false;
  private isSuspended = false;
  private abandonment: Abandonment<Replacement> | undefined;
  /** Whether `wait` has resolved with the abandonment. */
  private isAbandonmentTaken = false;
  /** Ends the pending `wait`, if there is one. */
  private endWait: ((reason: Abandonment<Replacement>) => void) | undefined;

  constructor(private readonly parts: StallMonitorParts<Replacement>) {
    this.progressAt = parts.clock.now();
    this.activityAt = this.progressAt;
    // Half of the remaining time is left for a replacement.
    this.stallMilliseconds = Math.min(
      parts.stallMilliseconds,
      Math.max(0, parts.deadline - this.progressAt) / 2,
    );
    void this.watch();
  }

  /** Clock time of the last progress. */
  get lastProgressAt(): number {
    return this.progressAt;
  }

  /** Records a sign of life that is no progress. It postpones a search once. */
  recordActivity(): void {
    this.activityAt = this.parts.clock.now();
  }

  /** Stops the time while progress is passed on to a caller that may be slow. */
  suspend(): void {
    this.isSuspended = true;
    if (!this.isCommitted) this.search?.abort();
  }

  /** Records the progress that was passed on. */
  resume(): void {
    this.isSuspended = false;
    this.progressAt = this.parts.clock.now();
    this.activityAt = this.progressAt;
  }

  /** Waits for `work`, unless the attempt is to be given up before. */
  async wait<Value>(
    work: Promise<Value>,
  ): Promise<MonitoredResult<Value, Replacement>> {
    const result = await new Promise<MonitoredResult<Value, Replacement>>(
      (resolve, reject) => {
        this.endWait = resolve;
        work.then(value => resolve({kind: 'ready', value}), reject);
        if (this.abandonment !== undefined) resolve(this.abandonment);
      },
    );
    if (result.kind !== 'ready') this.isAbandonmentTaken = true;
    return result;
  }

  /**
   * Ends the watch of an attempt that has failed. Resolves with the replacement that
   * was found or is being sought; undefined if there is none.
   */
  adopt(): Promise<Replacement | undefined> {
    this.closing.abort();
    this.isAdopted = true;
    const {abandonment, finding} = this;
    if (abandonment?.kind !== 'replaced' || this.isAbandonmentTaken)
      return finding ?? Promise.resolve(undefined);
    this.isAbandonmentTaken = true;
    return Promise.resolve(abandonment.replacement);
  }

  /** Ends the search, and frees a replacement that no `wait` resolved with. */
  close(): void {
    this.closing.abort();
    if (this.isAdopted) return;
    this.search?.abort();
    const {abandonment} = this;
    if (abandonment?.kind !== 'replaced' || this.isAbandonmentTaken) return;
    this.isAbandonmentTaken = true;
    this.parts.releaseReplacement(abandonment.replacement);
  }

  private async watch(): Promise<void> {
    const {stallMilliseconds} = this;
    const {clock, deadline} = this.parts;
    while (!this.closing.signal.aborted) {
      const now = clock.now();
      if (this.isSuspended) {
        await this.sleepUntil(now + searchIntervalMilliseconds);
        continue;
      }
      const stalledAt = Math.min(
        this.activityAt + stallMilliseconds,
        this.progressAt + 2 * stallMilliseconds,
      );
      const overdueAt = Math.max(deadline, stalledAt);
      const searchAt = Math.max(this.nextSearchAt, stalledAt);
      if (now >= overdueAt) return this.abandon({kind: 'overdue'});
      if (now < searchAt) await this.sleepUntil(Math.min(overdueAt, searchAt));
      else if (await this.replace(overdueAt)) return;
    }
  }

  /**
   * Searches once, at most until the clock time `overdueAt`. Returns whether the
   * attempt was given up.
   */
  private async replace(overdueAt: number): Promise<boolean> {
    const {clock, findReplacement, releaseReplacement} = this.parts;
    const search = new AbortController();
    this.search = search;
    const finding = findReplacement(search.signal, () => {
      this.isCommitted = true;
    });
    this.finding = finding;
    const timer = new AbortController();
    const timeout = clock.sleep(overdueAt - clock.now(), timer.signal);
    const isFound = await Promise.race([
      finding.then(() => true),
      timeout.then(() => false),
    ]);
    timer.abort();
    if (!isFound) search.abort();
    // An event that arrived during the search is read first.
    else if (!this.isCommitted)
      await clock.sleep(
        this.parts.graceMilliseconds ?? defaultGraceMilliseconds,
        search.signal,
      );
    this.search = undefined;
    this.isCommitted = false;
    this.nextSearchAt = clock.now() + searchIntervalMilliseconds;
    if (this.isAdopted) return true;
    if (search.signal.aborted) {
      this.finding = undefined;
      void finding.then(found => found && releaseReplacement(found));
      return false;
    }
    const replacement = await finding;
    if (this.isAdopted) return true;
    this.finding = undefined;
    if (replacement === undefined) return false;
    this.abandon({kind: 'replaced', replacement});
    return true;
  }

  private abandon(reason: Abandonment<Replacement>): void {
    this.abandonment = reason;
    this.endWait?.(reason);
    this.parts.onAbandoned?.();
  }

  private async sleepUntil(time: number): Promise<void> {
    const {clock} = this.parts;
    const {signal} = this.closing;
    await clock.sleep(time - clock.now(), signal);
    // What arrived while the process stood still has not been read yet.
    if (clock.now() - time > lateTimerMilliseconds)
      await clock.sleep(defaultGraceMilliseconds, signal);
  }
}
