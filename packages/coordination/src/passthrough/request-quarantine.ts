/**
 * Quarantines traits of requests that crash upstreams. A trait is suspected when
 * an upstream goes down after a request with this trait was sent to it and before
 * the upstream answered. An answer clears all traits of its request, because an
 * upstream that crashes on a trait never answers. Hosts exchange what they
 * observe in heartbeats; see docs/design/quarantine.md.
 */

import type {Clock} from '../clock.js';
import type {
  Beat,
  QuarantinedTrait,
  UpstreamLossReport,
} from '../generated/messages/persimmonwick/beat.js';
import type {UpstreamDocument} from '../generated/documents.js';
import {BoundedMap} from './bounded-map.js';
import {isSameLoss} from './upstream-loss.js';
import type {UpstreamLoss} from './upstream-loss.js';
import {
  ageOf,
  areEnough,
  newSuspect,
  recordLossAt,
  recordRenewals,
  remainingOf,
  removeBefore,
  restrictCompanions,
} from './suspect.js';
import type {Suspect} from './suspect.js';

/** A loss without another one counts for this long. */
const suspicionMilliseconds = 300_000;

/** Time for which a trait counts as sound after a success. */
const soundMilliseconds = 120_000;

/** Time for which the soundness of a trait that a peer suspects is reported. */
const soundReportMilliseconds = 30_000;

/**
 * Ages in heartbeats lag by their transit. A quarantine is prolonged or adopted
 * only by more than this, or hosts would prolong it for each other forever.
 */
const ageToleranceMilliseconds = 10_000;

const maximumSoundTraits = 16_384;
const maximumSuspects = 1024;
const maximumContradictions = 16;

/** Losses that are remembered for each suspect; later ones are not. */
const maximumLossesPerTrait = 16;

/** Traits that may be the cause instead of a quarantined one. */
const maximumCompanions = 16;

/** Entries of each kind in one heartbeat. */
export const maximumReportedEntries = 16;

/** Traits of one loss in a heartbeat. */
export const maximumReportedTraits = 64;

export type QuarantineChange =
  | {
      readonly kind: 'suspected';
      readonly trait: string;
      readonly upstream: string;
      readonly losses: number;
      readonly source: 'self' | 'peer';
    }
  | {
      readonly kind: 'quarantined';
      readonly trait: string;
      /** Losses known to this host. */
      readonly losses: number;
      readonly source: 'self' | 'peer';
      readonly remainingMilliseconds: number;
    }
  | {
      readonly kind: 'released';
      readonly trait: string;
      readonly reason: 'sound' | 'expired' | 'dropped';
    }
  /** The limit of tracked traits was reached; the oldest suspect was dropped. */
  | {readonly kind: 'dropped'; readonly trait: string};

export interface RequestQuarantineParts {
  readonly clock: Clock;
  readonly onChange: (change: QuarantineChange) => void;
  /** Called when peers should learn something soon. */
  readonly onLearned: () => void;
}

/** Evidence that hosts exchange. */
export type QuarantineReport = Pick<
  Beat,
  'upstreamLosses' | 'quarantinedTraits' | 'soundTraits'
>;

export class RequestQuarantine {
  /** Clock time of the last success of each trait. */
  private readonly successes = new BoundedMap<
    string,
    {readonly at: number; readonly isOwn: boolean}
  >(maximumSoundTraits);
  private readonly suspects = new BoundedMap<string, Suspect>(
    maximumSuspects,
    (trait, suspect) => this.onDropped(trait, suspect),
  );
  /** Clock time at which a peer last suspected a trait that is sound. */
  private readonly contradictions = new BoundedMap<string, number>(
    maximumContradictions,
  );
  private quarantinedCount = 0;

  constructor(private readonly parts: RequestQuarantineParts) {}

  /** Number of traits in quarantine. */
  get size(): number {
    return this.quarantinedCount;
  }

  /** The first quarantined trait of a request, and the time left for it. */
  findQuarantined(
    traits: readonly string[],
  ): {trait: string; remainingMilliseconds: number} | undefined {
    if (this.quarantinedCount === 0) return undefined;
    const now = this.parts.clock.now();
    for (const trait of traits) {
      const suspect = this.suspects.get(trait);
      if (suspect === undefined || !suspect.isQuarantined) continue;
      const companions =
        suspect.losses.length > 1
          ? this.companionsOf(trait, suspect)
          : suspect.companions;
      if (!companions.every(each => traits.includes(each))) continue;
      const remainingMilliseconds = remainingOf(suspect, now);
      if (remainingMilliseconds > 0) return {trait, remainingMilliseconds};
    }
    return undefined;
  }

  /** Whether each trait of a request that could crash an upstream is sound. */
  isKnownSound(traits: readonly string[]): boolean {
    return traits.every(trait => this.isSound(trait));
  }

  /** Records that an upstream answered a request. */
  recordSuccess(traits: readonly string[]): void {
    const now = this.parts.clock.now();
    for (const trait of traits) {
      this.successes.set(trait, {at: now, isOwn: true});
      this.clear(trait);
    }
  }

  /** Records that an upstream went down before it answered a request. */
  recordLoss({name, spec}: UpstreamDocument, traits: readonly string[]): void {
    const at = this.parts.clock.now();
    const {startedAt = 0} = spec;
    const loss: UpstreamLoss = {upstream: name, startedAt, at, isOwn: true};
    const unknown = traits.filter(trait => !this.isSound(trait));
    const added = unknown.filter(trait => this.addLoss(trait, loss));
    this.judge(added, 'self');
    if (added.length > 0) this.parts.onLearned();
  }

  /** Whether a quarantined trait that the request lacks was in the same loss. */
  isExplained(
    {name, spec}: UpstreamDocument,
    traits: readonly string[],
  ): boolean {
    const at = this.parts.clock.now();
    const {startedAt = 0} = spec;
    const loss: UpstreamLoss = {upstream: name, startedAt, at, isOwn: true};
    return [...this.suspects.entries()].some(
      ([trait, {isQuarantined, losses}]) =>
        isQuarantined &&
        !traits.includes(trait) &&
        losses.some(known => isSameLoss(known, loss)),
    );
  }

  /** Records the evidence in the heartbeat of another host. */
  recordPeer({
    upstreamLosses,
    quarantinedTraits,
    soundTraits,
  }: QuarantineReport): void {
    const now = this.parts.clock.now();
    for (const trait of soundTraits) {
      // A repeated report must not prolong the effect of one success.
      if (!this.isSound(trait))
        this.successes.set(trait, {at: now, isOwn: false});
      this.clear(trait);
    }
    // All losses are added before a trait is judged by what it had in common.
    const added = upstreamLosses.flatMap(each => this.addPeerLoss(each, now));
    this.judge(added, 'peer');
    for (const entry of quarantinedTraits) {
      if (this.isSound(entry.trait)) this.contradict(entry.trait, now);
      else this.adopt(entry, now);
    }
  }

  /** Evidence for the next heartbeat. Ends the quarantines that have lapsed. */
  report(): QuarantineReport {
    const now = this.parts.clock.now();
    const quarantinedTraits: QuarantinedTrait[] = [];
    for (const [trait, suspect] of this.suspects.entries()) {
      this.expire(trait, suspect, now);
      if (suspect.isQuarantined)
        quarantinedTraits.push({
          trait,
          ageMilliseconds: ageOf(suspect, now),
          companions: suspect.companions,
          renewals: suspect.renewals,
        });
    }
    const soundTraits = [...this.contradictions.entries()]
      .filter(([, at]) => now - at < soundReportMilliseconds)
      .map(([trait]) => trait);
    return {
      upstreamLosses: this.reportLosses(now),
      quarantinedTraits: newestOf(quarantinedTraits),
      soundTraits,
    };
  }

  /**
   * The newest losses that this host observed, with the traits that may be the
   * cause. Traits with the most losses come first, because room is limited.
   */
  private reportLosses(now: number): UpstreamLossReport[] {
    const found: {loss: UpstreamLoss; traits: string[]}[] = [];
    const byLosses = [...this.suspects.entries()].sort(
      ([, left], [, right]) => right.losses.length - left.losses.length,
    );
    for (const [trait, {losses}] of byLosses)
      for (const loss of losses) {
        if (!loss.isOwn) continue;
        const same = found.find(other => isSameLoss(other.loss, loss));
        if (same === undefined) found.push({loss, traits: [trait]});
        else if (same.traits.length < maximumReportedTraits)
          same.traits.push(trait);
      }
    return newestOf(
      found.map(({loss: {upstream, startedAt, at}, traits}) => ({
        upstream,
        startedAt: BigInt(startedAt),
        ageMilliseconds: Math.round(now - at),
        traits,
      })),
    );
  }

  private isSound(trait: string): boolean {
    const success = this.successes.get(trait);
    return (
      success !== undefined &&
      this.parts.clock.now() - success.at < soundMilliseconds
    );
  }

  private contradict(trait: string, now: number): void {
    // Soundness that a peer reported would otherwise be passed on forever.
    if (this.successes.get(trait)?.isOwn !== true) return;
    const isNew = !this.contradictions.has(trait);
    this.contradictions.set(trait, now);
    if (isNew) this.parts.onLearned();
  }

  /** Returns the traits for which the loss is new. */
  private addPeerLoss(report: UpstreamLossReport, now: number): string[] {
    const {upstream, startedAt, ageMilliseconds, traits} = report;
    if (ageMilliseconds >= suspicionMilliseconds) return [];
    const loss: UpstreamLoss = {
      upstream,
      startedAt: Number(startedAt),
      at: now - ageMilliseconds,
      isOwn: false,
    };
    return traits.filter(trait => {
      if (!this.isSound(trait)) return this.addLoss(trait, loss);
      this.contradict(trait, now);
      return false;
    });
  }

  /** Returns false if the loss adds nothing to what is known. */
  private addLoss(trait: string, loss: UpstreamLoss): boolean {
    const now = this.parts.clock.now();
    const suspect = this.suspects.get(trait) ?? newSuspect();
    const {losses} = suspect;
    recordLossAt(suspect, loss);
    removeBefore(losses, now - suspicionMilliseconds);
    if (
      losses.length >= maximumLossesPerTrait ||
      losses.some(known => isSameLoss(known, loss))
    )
      return false;
    this.makeRoom(trait);
    this.suspects.set(trait, suspect);
    losses.push(loss);
    losses.sort((left, right) => left.at - right.at);
    this.parts.onChange({
      kind: 'suspected',
      trait,
      upstream: loss.upstream,
      losses: losses.length,
      source: loss.isOwn ? 'self' : 'peer',
    });
    return true;
  }

  /** Drops the oldest suspect that is not in quarantine if there are too many. */
  private makeRoom(trait: string): void {
    if (this.suspects.has(trait) || this.suspects.size < maximumSuspects)
      return;
    for (const [other, suspect] of this.suspects.entries()) {
      if (suspect.isQuarantined) continue;
      this.suspects.delete(other);
      this.onDropped(other, suspect);
      return;
    }
  }

  /** Quarantines those of `candidates` that have had enough losses. */
  private judge(candidates: readonly string[], source: 'self' | 'peer'): void {
    for (const trait of new Set(candidates)) {
      const suspect = this.suspects.get(trait);
      if (suspect === undefined) continue;
      const hasAlternative = () => this.hasAlternative(trait, suspect);
      if (!suspect.isConvicted && !areEnough(suspect.losses, hasAlternative))
        continue;
      const companions = this.companionsOf(trait, suspect);
      restrictCompanions(suspect, companions);
      this.quarantine(trait, suspect, source);
    }
  }

  /** Whether another suspect trait was in one of the losses of a trait. */
  private hasAlternative(trait: string, {losses}: Suspect): boolean {
    return [...this.suspects.entries()].some(
      ([other, suspect]) =>
        other !== trait &&
        losses.some(loss =>
          suspect.losses.some(known => isSameLoss(known, loss)),
        ),
    );
  }

  /** Traits that were in all losses of a trait, so that each may be the cause. */
  private companionsOf(trait: string, {losses}: Suspect): string[] {
    return [...this.suspects.entries()]
      .filter(
        ([other, suspect]) =>
          other !== trait &&
          losses.every(loss =>
            suspect.losses.some(known => isSameLoss(known, loss)),
          ),
      )
      .map(([other]) => other)
      .slice(0, maximumCompanions);
  }

  private adopt(
    {trait, ageMilliseconds, companions, renewals}: QuarantinedTrait,
    now: number,
  ): void {
    const lastLossAt = now - ageMilliseconds;
    const suspect = this.suspects.get(trait) ?? newSuspect();
    const isLater = lastLossAt > suspect.lastLossAt + ageToleranceMilliseconds;
    const reported = {...newSuspect(), lastLossAt};
    recordRenewals(reported, renewals);
    if (remainingOf(reported, now) <= ageToleranceMilliseconds) return;
    restrictCompanions(
      suspect,
      companions.filter(each => !this.isSound(each)),
    );
    recordRenewals(suspect, renewals);
    if (suspect.isConvicted && !isLater) return;
    this.suspects.set(trait, suspect);
    if (lastLossAt > suspect.lastLossAt) {
      suspect.lastLossAt = lastLossAt;
      suspect.isLastLossOwn = false;
    }
    this.quarantine(trait, suspect, 'peer');
  }

  private quarantine(
    trait: string,
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
      trait,
      losses: suspect.losses.length,
      source,
      remainingMilliseconds,
    });
    this.parts.onLearned();
  }

  private clear(trait: string): void {
    const suspect = this.suspects.get(trait);
    if (suspect === undefined) return;
    this.suspects.delete(trait);
    for (const [, {companions}] of this.suspects.entries())
      if (companions.includes(trait))
        companions.splice(companions.indexOf(trait), 1);
    this.release(trait, suspect, 'sound');
    this.contradict(trait, this.parts.clock.now());
  }

  private expire(trait: string, suspect: Suspect, now: number): void {
    if (suspect.isQuarantined && remainingOf(suspect, now) <= 0)
      this.release(trait, suspect, 'expired');
    removeBefore(suspect.losses, now - suspicionMilliseconds);
    if (suspect.losses.length === 0 && !suspect.isConvicted)
      this.suspects.delete(trait);
  }

  private release(
    trait: string,
    suspect: Suspect,
    reason: 'sound' | 'expired' | 'dropped',
  ): void {
    if (!suspect.isQuarantined) return;
    suspect.isQuarantined = false;
    this.quarantinedCount -= 1;
    this.parts.onChange({kind: 'released', trait, reason});
  }

  private onDropped(trait: string, suspect: Suspect): void {
    this.release(trait, suspect, 'dropped');
    this.parts.onChange({kind: 'dropped', trait});
  }
}

function newestOf<Entry extends {readonly ageMilliseconds: number}>(
  entries: readonly Entry[],
): Entry[] {
  return [...entries]
    .sort((left, right) => left.ageMilliseconds - right.ageMilliseconds)
    .slice(0, maximumReportedEntries);
}
