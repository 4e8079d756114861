/**
 * Quarantines prompt parts that crash engines. A part is suspected when an
 * engine goes down after a generation with this part was sent to it and before
 * the engine sent an event. An event clears all parts of its generation, because
 * an engine that crashes on a part never answers. Hosts exchange what they
 * observe in heartbeats; see docs/design/quarantine.md.
 */

import type {Clock} from '../clock.js';
import type {
  Beat,
  LostPart,
  QuarantinedPart,
} from '../generated/messages/persimmonwick/beat.js';
import type {UpstreamDocument} from '../generated/documents.js';
import type {PromptPart} from './call.js';
import {BoundedMap} from './bounded-map.js';
import {isSameLoss} from './upstream-loss.js';
import type {UpstreamLoss} from './upstream-loss.js';
import {suspectableIdsOf} from './crash-traits.js';
import {
  ageOf,
  areEnough,
  newSuspect,
  quarantineMilliseconds,
  remainingOf,
  removeBefore,
  restrictCompanions,
} from './suspect.js';
import type {Suspect} from './suspect.js';

/** A loss without another one counts for this long. */
const suspicionMilliseconds = 300_000;

/** Time for which a part counts as sound after a success. */
const soundMilliseconds = 120_000;

/** Time for which the soundness of a part that a peer suspects is reported. */
const soundReportMilliseconds = 30_000;

/**
 * Ages in heartbeats lag by their transit. A quarantine is prolonged or adopted
 * only by more than this, or hosts would prolong it for each other forever.
 */
const ageToleranceMilliseconds = 10_000;

const maximumSoundParts = 16_384;
const maximumSuspects = 1024;
const maximumContradictions = 16;

/** Losses that are remembered for each suspect; later ones are not. */
const maximumLossesPerPart = 16;

/** Parts that may be the cause instead of a quarantined one. */
const maximumCompanions = 16;

/** Entries of each kind in one heartbeat. */
export const maximumReportedParts = 16;

export type QuarantineChange =
  | {
      readonly kind: 'suspected';
      readonly part: string;
      readonly upstream: string;
      readonly losses: number;
      readonly source: 'self' | 'peer';
    }
  | {
      readonly kind: 'quarantined';
      readonly part: string;
      /** Losses known to this host. */
      readonly losses: number;
      readonly source: 'self' | 'peer';
      readonly remainingMilliseconds: number;
    }
  | {
      readonly kind: 'released';
      readonly part: string;
      readonly reason: 'sound' | 'expired' | 'dropped';
    }
  /** The limit of tracked parts was reached; the oldest suspect was dropped. */
  | {readonly kind: 'dropped'; readonly part: string};

export interface RequestQuarantineParts {
  readonly clock: Clock;
  readonly onChange: (change: QuarantineChange) => void;
  /** Called when peers should learn something soon. */
  readonly onLearned: () => void;
}

/** Evidence that hosts exchange. */
export type QuarantineReport = Pick<
  Beat,
  'lostParts' | 'quarantinedParts' | 'soundParts'
>;

export class RequestQuarantine {
  /** Clock time of the last success of each part. */
  private readonly successes = new BoundedMap<
    string,
    {readonly at: number; readonly isOwn: boolean}
  >(maximumSoundParts);
  private readonly suspects = new BoundedMap<string, Suspect>(
    maximumSuspects,
    (part, suspect) => this.onDropped(part, suspect),
  );
  /** Clock time at which a peer last suspected a part that is sound. */
  private readonly contradictions = new BoundedMap<string, number>(
    maximumContradictions,
  );
  private quarantinedCount = 0;

  constructor(private readonly parts: RequestQuarantineParts) {}

  /** Number of parts in quarantine. */
  get size(): number {
    return this.quarantinedCount;
  }

  /** The first quarantined part of a prompt, and the time left for it. */
  findQuarantined(
    promptParts: readonly PromptPart[],
  ): {part: string; remainingMilliseconds: number} | undefined {
    if (this.quarantinedCount === 0) return undefined;
    const now = this.parts.clock.now();
    const ids = suspectableIdsOf(promptParts);
    for (const part of ids) {
      const suspect = this.suspects.get(part);
      if (suspect === undefined || !suspect.isQuarantined) continue;
      const companions =
        suspect.losses.length > 1
          ? this.companionsOf(part, suspect)
          : suspect.companions;
      if (!companions.every(each => ids.includes(each))) continue;
      const remainingMilliseconds = remainingOf(suspect, now);
      if (remainingMilliseconds > 0) return {part, remainingMilliseconds};
    }
    return undefined;
  }

  /** Whether each part of a prompt that could crash an engine is sound. */
  isKnownSound(promptParts: readonly PromptPart[]): boolean {
    return suspectableIdsOf(promptParts).every(part => this.isSound(part));
  }

  /** Records that an engine sent an event for a prompt. */
  recordSuccess(promptParts: readonly PromptPart[]): void {
    const now = this.parts.clock.now();
    for (const part of suspectableIdsOf(promptParts)) {
      this.successes.set(part, {at: now, isOwn: true});
      this.clear(part);
    }
  }

  /** Records that an engine went down before it sent an event for a prompt. */
  recordLoss(
    {name, spec}: UpstreamDocument,
    promptParts: readonly PromptPart[],
  ): void {
    const at = this.parts.clock.now();
    const {startedAt = 0} = spec;
    const loss: UpstreamLoss = {upstream: name, startedAt, at, isOwn: true};
    const unknown = suspectableIdsOf(promptParts).filter(
      part => !this.isSound(part),
    );
    const added = unknown.filter(part => this.addLoss(part, loss));
    this.judge(added, 'self');
    if (added.length > 0) this.parts.onLearned();
  }

  /** Whether a quarantined part that is not in the prompt was in the same loss. */
  isExplained(
    {name, spec}: UpstreamDocument,
    promptParts: readonly PromptPart[],
  ): boolean {
    const at = this.parts.clock.now();
    const {startedAt = 0} = spec;
    const loss: UpstreamLoss = {upstream: name, startedAt, at, isOwn: true};
    const ids = suspectableIdsOf(promptParts);
    return [...this.suspects.entries()].some(
      ([part, {isQuarantined, losses}]) =>
        isQuarantined &&
        !ids.includes(part) &&
        losses.some(known => isSameLoss(known, loss)),
    );
  }

  /** Records the evidence in the heartbeat of another host. */
  recordPeer({
    lostParts,
    quarantinedParts,
    soundParts,
  }: QuarantineReport): void {
    const now = this.parts.clock.now();
    for (const part of soundParts) {
      // A repeated report must not prolong the effect of one success.
      if (!this.isSound(part))
        this.successes.set(part, {at: now, isOwn: false});
      this.clear(part);
    }
    const added = lostParts
      .filter(each => this.addPeerLoss(each, now))
      .map(({part}) => part);
    this.judge(added, 'peer');
    for (const entry of quarantinedParts) {
      if (this.isSound(entry.part)) this.contradict(entry.part, now);
      else this.adopt(entry, now);
    }
  }

  /** Evidence for the next heartbeat. Ends the quarantines that have lapsed. */
  report(): QuarantineReport {
    const now = this.parts.clock.now();
    const lostParts: QuarantineReport['lostParts'] = [];
    const quarantinedParts: QuarantineReport['quarantinedParts'] = [];
    for (const [part, suspect] of this.suspects.entries()) {
      this.expire(part, suspect, now);
      if (suspect.isQuarantined)
        quarantinedParts.push({
          part,
          ageMilliseconds: ageOf(suspect, now),
          companions: suspect.companions,
        });
      for (const {upstream, startedAt, at, isOwn} of suspect.losses)
        if (isOwn)
          lostParts.push({
            part,
            upstream,
            startedAt: BigInt(startedAt),
            ageMilliseconds: Math.round(now - at),
          });
    }
    const soundParts = [...this.contradictions.entries()]
      .filter(([, at]) => now - at < soundReportMilliseconds)
      .map(([part]) => part);
    const newest = <Entry extends {ageMilliseconds: number}>(all: Entry[]) =>
      all
        .sort((left, right) => left.ageMilliseconds - right.ageMilliseconds)
        .slice(0, maximumReportedParts);
    return {
      lostParts: newest(lostParts),
      quarantinedParts: newest(quarantinedParts),
      soundParts,
    };
  }

  private isSound(part: string): boolean {
    const success = this.successes.get(part);
    return (
      success !== undefined &&
      this.parts.clock.now() - success.at < soundMilliseconds
    );
  }

  private contradict(part: string, now: number): void {
    // Soundness that a peer reported would otherwise be passed on forever.
    if (this.successes.get(part)?.isOwn !== true) return;
    const isNew = !this.contradictions.has(part);
    this.contradictions.set(part, now);
    if (isNew) this.parts.onLearned();
  }

  private addPeerLoss(lost: LostPart, now: number): boolean {
    const {part, upstream, startedAt, ageMilliseconds} = lost;
    if (ageMilliseconds >= suspicionMilliseconds) return false;
    if (this.isSound(part)) {
      this.contradict(part, now);
      return false;
    }
    return this.addLoss(part, {
      upstream,
      startedAt: Number(startedAt),
      at: now - ageMilliseconds,
      isOwn: false,
    });
  }

  /** Returns false if the loss adds nothing to what is known. */
  private addLoss(part: string, loss: UpstreamLoss): boolean {
    const now = this.parts.clock.now();
    const suspect = this.suspects.get(part) ?? newSuspect();
    const {losses} = suspect;
    suspect.lastLossAt = Math.max(suspect.lastLossAt, loss.at);
    removeBefore(losses, now - suspicionMilliseconds);
    if (
      losses.length >= maximumLossesPerPart ||
      losses.some(known => isSameLoss(known, loss))
    )
      return false;
    this.makeRoom(part);
    this.suspects.set(part, suspect);
    losses.push(loss);
    losses.sort((left, right) => left.at - right.at);
    this.parts.onChange({
      kind: 'suspected',
      part,
      upstream: loss.upstream,
      losses: losses.length,
      source: loss.isOwn ? 'self' : 'peer',
    });
    return true;
  }

  /** Drops the oldest suspect that is not in quarantine if there are too many. */
  private makeRoom(part: string): void {
    if (this.suspects.has(part) || this.suspects.size < maximumSuspects) return;
    for (const [other, suspect] of this.suspects.entries()) {
      if (suspect.isQuarantined) continue;
      this.suspects.delete(other);
      this.onDropped(other, suspect);
      return;
    }
  }

  /** Quarantines those of `candidates` that have had enough losses. */
  private judge(candidates: readonly string[], source: 'self' | 'peer'): void {
    for (const part of new Set(candidates)) {
      const suspect = this.suspects.get(part);
      if (suspect === undefined) continue;
      if (!suspect.isConvicted && !areEnough(suspect.losses)) continue;
      const companions = this.companionsOf(part, suspect);
      restrictCompanions(suspect, companions);
      this.quarantine(part, suspect, source);
    }
  }

  /** Parts that were in all losses of a part, so that each may be the cause. */
  private companionsOf(part: string, {losses}: Suspect): string[] {
    return [...this.suspects.entries()]
      .filter(
        ([other, suspect]) =>
          other !== part &&
          losses.every(loss =>
            suspect.losses.some(known => isSameLoss(known, loss)),
          ),
      )
      .map(([other]) => other)
      .slice(0, maximumCompanions);
  }

  private adopt(
    {part, ageMilliseconds, companions}: QuarantinedPart,
    now: number,
  ): void {
    const lastLossAt = now - ageMilliseconds;
    const suspect = this.suspects.get(part) ?? newSuspect();
    const isLater = lastLossAt > suspect.lastLossAt + ageToleranceMilliseconds;
    const isLasting =
      lastLossAt + quarantineMilliseconds > now + ageToleranceMilliseconds;
    if (!isLasting) return;
    restrictCompanions(
      suspect,
      companions.filter(each => !this.isSound(each)),
    );
    if (suspect.isConvicted && !isLater) return;
    this.suspects.set(part, suspect);
    suspect.lastLossAt = Math.max(suspect.lastLossAt, lastLossAt);
    this.quarantine(part, suspect, 'peer');
  }

  private quarantine(
    part: string,
    suspect: Suspect,
    source: 'self' | 'peer',
  ): void {
    suspect.isConvicted = true;
    if (suspect.isQuarantined) return;
    const remainingMilliseconds = remainingOf(suspect, this.parts.clock.now());
    if (remainingMilliseconds <= 0) return;
    suspect.isQuarantined = true;
    this.quarantinedCount += 1;
    this.parts.onChange({
      kind: 'quarantined',
      part,
      losses: suspect.losses.length,
      source,
      remainingMilliseconds,
    });
    this.parts.onLearned();
  }

  private clear(part: string): void {
    const suspect = this.suspects.get(part);
    if (suspect === undefined) return;
    this.suspects.delete(part);
    for (const [, {companions}] of this.suspects.entries())
      if (companions.includes(part))
        companions.splice(companions.indexOf(part), 1);
    this.release(part, suspect, 'sound');
    this.contradict(part, this.parts.clock.now());
  }

  private expire(part: string, suspect: Suspect, now: number): void {
    if (suspect.isQuarantined && remainingOf(suspect, now) <= 0)
      this.release(part, suspect, 'expired');
    removeBefore(suspect.losses, now - suspicionMilliseconds);
    if (suspect.losses.length === 0 && !suspect.isConvicted)
      this.suspects.delete(part);
  }

  private release(
    part: string,
    suspect: Suspect,
    reason: 'sound' | 'expired' | 'dropped',
  ): void {
    if (!suspect.isQuarantined) return;
    suspect.isQuarantined = false;
    this.quarantinedCount -= 1;
    this.parts.onChange({kind: 'released', part, reason});
  }

  private onDropped(part: string, suspect: Suspect): void {
    this.release(part, suspect, 'dropped');
    this.parts.onChange({kind: 'dropped', part});
  }
}
