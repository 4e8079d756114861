/**
 * A host's view of one engine: the last load report, adjusted by the work that
 * the host has reserved and released since the time of the report.
 */

import type {Upstream} from '../configuration/configuration.js';
import type {Member} from '../generated/documents.js';
import type {Engine, LoadReport} from '../upstreams/engine.js';
import {PrefixCacheView} from './cache-view.js';
import {EngineHealth} from './engine-health.js';

/** A decode slot that the host has reserved or uses. */
export interface SlotReservation {
  /**
   * Time since which the engine counts the slot; undefined before the transfer.
   */
  countedSince: number | undefined;
  /** Estimated time of release. */
  expectedReleaseAt: number;
  releasedAt: number | undefined;
}

/** The slots guaranteed to a host, with the inputs of the computation. */
export interface GuaranteedSlots {
  readonly members: readonly Member[];
  readonly decodeSlots: number;
  readonly slots: number;
}

interface PrefillReservation {
  readonly reservedAt: number;
  readonly tokens: number;
}

/** Used until the engine's first load report arrives. */
const defaultReport: LoadReport = {
  ageMilliseconds: 0,
  queuedPrefillTokens: 0,
  prefillTokensPerSecond: 20_000,
  decodeSlots: 4,
  decodeSlotsUsed: 0,
  decodeStepMilliseconds: 20,
  heldTokens: 0,
};
const maximumPrefillReservations = 1_024;
const slotRefusalBackoffMilliseconds = 100;

export class EngineState {
  readonly health = new EngineHealth();
  readonly cache = new PrefixCacheView();
  /**
   * True once the engine was a candidate for prefill; from then on its cache
   * events are polled.
   */
  hasBeenPrefillCandidate = false;
  /** True after the first poll, whether it succeeded or not. */
  hasBeenPolled = false;
  /** Load reports in a row that did not arrive in time. */
  silentPolls = 0;
  report: LoadReport = defaultReport;
  /**
   * Cached number of guaranteed slots, valid while its inputs are unchanged.
   */
  guaranteedSlots: GuaranteedSlots | undefined;
  /**
   * Slots beyond the guaranteed ones that the host can use until the next
   * report.
   */
  borrowableSlots = 0;
  private reportedAt = 0;
  private fullUntil = 0;
  private prefillReservations: PrefillReservation[] = [];
  private readonly slots = new Set<SlotReservation>();
  private releasedSlots: SlotReservation[] = [];
  private prefillCount = 0;

  constructor(
    readonly upstream: Upstream,
    readonly engine: Engine,
  ) {}

  get reservedSlots(): number {
    return this.slots.size;
  }

  get reservedPrefills(): number {
    return this.prefillCount;
  }

  /** Records a load report received at `now`. */
  recordReport(report: LoadReport, now: number, borrowableSlots: number): void {
    this.report = report;
    this.reportedAt = now - report.ageMilliseconds;
    this.borrowableSlots = borrowableSlots;
    this.prefillReservations = this.prefillReservations.filter(
      ({reservedAt}) => reservedAt > this.reportedAt,
    );
    this.releasedSlots = this.releasedSlots.filter(
      ({releasedAt}) => releasedAt! > this.reportedAt,
    );
  }

  /** Estimated number of prompt tokens queued at the engine at `now`. */
  prefillBacklogTokens(now: number): number {
    const tokensPerMillisecond = this.report.prefillTokensPerSecond / 1000;
    let backlogTokens = this.report.queuedPrefillTokens;
    let time = this.reportedAt;
    for (const {reservedAt, tokens} of this.prefillReservations) {
      backlogTokens = Math.max(
        0,
        backlogTokens - (reservedAt - time) * tokensPerMillisecond,
      );
      backlogTokens += tokens;
      time = reservedAt;
    }
    return Math.max(0, backlogTokens - (now - time) * tokensPerMillisecond);
  }

  /** Estimated number of decode slots in use at `time`, now or later. */
  slotsUsedAt(time: number): number {
    let own = 0;
    for (const slot of this.slots) if (slot.expectedReleaseAt > time) own += 1;
    return this.slotsUsedByOthers() + own;
  }

  /**
   * True shortly after the engine refused a request because it had no free
   * slot.
   */
  isFull(now: number): boolean {
    return now < this.fullUntil;
  }

  recordRefusal(now: number): void {
    this.fullUntil = now + slotRefusalBackoffMilliseconds;
    this.borrowableSlots = 0;
  }

  reservePrefill(now: number, tokens: number): void {
    this.prefillCount += 1;
    this.prefillReservations.push({reservedAt: now, tokens});
    if (this.prefillReservations.length > maximumPrefillReservations)
      this.prefillReservations.shift();
  }

  releasePrefill(): void {
    this.prefillCount -= 1;
  }

  reserveSlot(expectedReleaseAt: number): SlotReservation {
    const slot = {
      countedSince: undefined,
      expectedReleaseAt,
      releasedAt: undefined,
    };
    this.slots.add(slot);
    return slot;
  }

  releaseSlot(slot: SlotReservation, now: number): void {
    if (!this.slots.delete(slot)) return;
    slot.releasedAt = now;
    if (slot.countedSince !== undefined) this.releasedSlots.push(slot);
  }

  private slotsUsedByOthers(): number {
    const isCounted = ({countedSince}: SlotReservation) =>
      countedSince !== undefined && countedSince <= this.reportedAt;
    const own = [...this.slots].filter(isCounted).length;
    const released = this.releasedSlots.filter(isCounted).length;
    return Math.max(0, this.report.decodeSlotsUsed - own - released);
  }
}
