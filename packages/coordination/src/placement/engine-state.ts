/**
 * One engine as a host sees it: the last load report, corrected by what the
 * host has itself sent and released since the report was taken.
 */

import type {Upstream} from '../configuration/configuration.js';
import type {Member} from '../generated/documents.js';
import type {Engine, LoadReport} from '../upstreams/engine.js';
import {PrefixCacheView} from './cache-view.js';
import {EngineHealth} from './engine-health.js';

/** A decode slot that the host has set aside or uses. */
export interface SlotReservation {
  /** When the engine began to count it; undefined before the transfer. */
  visibleAt: number | undefined;
  /** When the slot is free again at the latest, as far as is known. */
  expectedEnd: number;
  endedAt: number | undefined;
}

/** A host's share of an engine's slots, with what it was computed from. */
export interface SlotShare {
  readonly members: readonly Member[];
  readonly of: number;
  readonly slots: number;
}

interface SentPrefill {
  readonly sentAt: number;
  readonly tokens: number;
}

/** Stands in for the report of an engine that has not been read yet. */
const assumedReport: LoadReport = {
  ageMilliseconds: 0,
  queuedPrefillTokens: 0,
  prefillTokensPerSecond: 20_000,
  decodeSlots: 4,
  decodeSlotsUsed: 0,
  decodeStepMilliseconds: 20,
  heldTokens: 0,
};
const maximumSentPrefills = 1_024;
const refusalMilliseconds = 100;

export class EngineState {
  readonly health = new EngineHealth();
  readonly cache = new PrefixCacheView();
  /** True once the engine was a choice for prefill: its cache matters. */
  isPrefillChoice = false;
  /** True once the engine was asked for a report, whatever came of it. */
  wasAsked = false;
  report: LoadReport = assumedReport;
  /** The host's share of the slots, kept while what it follows from stays. */
  share: SlotShare | undefined;
  /** Slots beyond the own share that may be taken until the next report. */
  borrowable = 0;
  private takenAt = 0;
  private fullUntil = 0;
  private sent: SentPrefill[] = [];
  private readonly slots = new Set<SlotReservation>();
  private endedSlots: SlotReservation[] = [];
  private prefillsInFlight = 0;

  constructor(
    readonly upstream: Upstream,
    readonly engine: Engine,
  ) {}

  get ownSlots(): number {
    return this.slots.size;
  }

  get ownPrefills(): number {
    return this.prefillsInFlight;
  }

  /** Takes a report that arrived at `now`. */
  takeReport(report: LoadReport, now: number, borrowable: number): void {
    this.report = report;
    this.takenAt = now - report.ageMilliseconds;
    this.borrowable = borrowable;
    this.sent = this.sent.filter(({sentAt}) => sentAt > this.takenAt);
    this.endedSlots = this.endedSlots.filter(
      ({endedAt}) => endedAt! > this.takenAt,
    );
  }

  /** Prompt tokens that wait at the engine at `now`. */
  prefillBacklog(now: number): number {
    const perMillisecond = this.report.prefillTokensPerSecond / 1000;
    let backlog = this.report.queuedPrefillTokens;
    let time = this.takenAt;
    for (const {sentAt, tokens} of this.sent) {
      backlog = Math.max(0, backlog - (sentAt - time) * perMillisecond);
      backlog += tokens;
      time = sentAt;
    }
    return Math.max(0, backlog - (now - time) * perMillisecond);
  }

  /** Decode slots in use at `time`, a moment at or after the present. */
  slotsUsedAt(time: number): number {
    let own = 0;
    for (const slot of this.slots) if (slot.expectedEnd > time) own += 1;
    return this.slotsOfOthers() + own;
  }

  /** True shortly after the engine refused for want of a slot. */
  isFull(now: number): boolean {
    return now < this.fullUntil;
  }

  recordRefusal(now: number): void {
    this.fullUntil = now + refusalMilliseconds;
    this.borrowable = 0;
  }

  startPrefill(now: number, tokens: number): void {
    this.prefillsInFlight += 1;
    this.sent.push({sentAt: now, tokens});
    if (this.sent.length > maximumSentPrefills) this.sent.shift();
  }

  endPrefill(): void {
    this.prefillsInFlight -= 1;
  }

  reserveSlot(expectedEnd: number): SlotReservation {
    const slot = {visibleAt: undefined, expectedEnd, endedAt: undefined};
    this.slots.add(slot);
    return slot;
  }

  releaseSlot(slot: SlotReservation, now: number): void {
    if (!this.slots.delete(slot)) return;
    slot.endedAt = now;
    if (slot.visibleAt !== undefined) this.endedSlots.push(slot);
  }

  private slotsOfOthers(): number {
    const isCounted = ({visibleAt}: SlotReservation) =>
      visibleAt !== undefined && visibleAt <= this.takenAt;
    const own = [...this.slots].filter(isCounted).length;
    const ended = this.endedSlots.filter(isCounted).length;
    return Math.max(0, this.report.decodeSlotsUsed - own - ended);
  }
}
