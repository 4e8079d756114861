/**
 * A host's view of one engine: the last load report, adjusted by the work that
 * the host has sent and released since the time of the report.
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

/** A host's share of an engine's slots, with the inputs of the computation. */
export interface SlotShare {
  readonly members: readonly Member[];
  readonly decodeSlots: number;
  readonly slots: number;
}

interface SentPrefill {
  readonly sentAt: number;
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
const maximumSentPrefills = 1_024;
const slotRefusalBackoffMilliseconds = 100;

export class EngineState {
  readonly health = new EngineHealth();
  readonly cache = new PrefixCacheView();
  /**
   * True once the engine was a candidate for prefill; its cache is polled then.
   */
  isPrefillCandidate = false;
  /** True after the first poll, whether it succeeded or not. */
  hasBeenPolled = false;
  report: LoadReport = defaultReport;
  /** Cached slot share, valid while its inputs are unchanged. */
  slotShare: SlotShare | undefined;
  /** Slots beyond the host's share that it can take until the next report. */
  borrowableSlots = 0;
  private reportedAt = 0;
  private fullUntil = 0;
  private sentPrefills: SentPrefill[] = [];
  private readonly slots = new Set<SlotReservation>();
  private releasedSlots: SlotReservation[] = [];
  private prefillsInFlight = 0;

  constructor(
    readonly upstream: Upstream,
    readonly engine: Engine,
  ) {}

  get reservedSlots(): number {
    return this.slots.size;
  }

  get activePrefills(): number {
    return this.prefillsInFlight;
  }

  /** Records a load report received at `now`. */
  recordReport(report: LoadReport, now: number, borrowableSlots: number): void {
    this.report = report;
    this.reportedAt = now - report.ageMilliseconds;
    this.borrowableSlots = borrowableSlots;
    this.sentPrefills = this.sentPrefills.filter(
      ({sentAt}) => sentAt > this.reportedAt,
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
    for (const {sentAt, tokens} of this.sentPrefills) {
      backlogTokens = Math.max(
        0,
        backlogTokens - (sentAt - time) * tokensPerMillisecond,
      );
      backlogTokens += tokens;
      time = sentAt;
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

  startPrefill(now: number, tokens: number): void {
    this.prefillsInFlight += 1;
    this.sentPrefills.push({sentAt: now, tokens});
    if (this.sentPrefills.length > maximumSentPrefills)
      this.sentPrefills.shift();
  }

  endPrefill(): void {
    this.prefillsInFlight -= 1;
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
