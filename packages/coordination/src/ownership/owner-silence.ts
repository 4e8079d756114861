/** How long owners have not answered, as far as that says anything. */

import type {Clock} from '../clock.js';
import type {RequestOwner} from '../upstreams/engine.js';
import {
  minimumFailedQuestions,
  ownerSilenceMilliseconds,
} from './ownership-timing.js';

interface Silence {
  readonly since: number;
  failedQuestions: number;
}

export class OwnerSilence {
  private readonly silences = new Map<string, Silence>();

  constructor(private readonly clock: Clock) {}

  /** Notes that `owner` answered. */
  clear(owner: RequestOwner): void {
    this.silences.delete(nameOf(owner));
  }

  /** Notes a failed question that began at `askedAt`. */
  add(owner: RequestOwner, askedAt: number): void {
    const silence = this.silences.get(nameOf(owner));
    if (silence === undefined)
      this.silences.set(nameOf(owner), {since: askedAt, failedQuestions: 1});
    else silence.failedQuestions += 1;
  }

  /** True when the last question to `owner` failed. */
  has(owner: RequestOwner): boolean {
    return this.silences.has(nameOf(owner));
  }

  /** True when the owner had its time and its chances to answer. */
  isOver(owner: RequestOwner): boolean {
    const silence = this.silences.get(nameOf(owner));
    return (
      silence !== undefined &&
      silence.failedQuestions >= minimumFailedQuestions &&
      this.clock.now() - silence.since >= ownerSilenceMilliseconds
    );
  }

  /** Starts all counts again, after a pause of this host. */
  reset(): void {
    this.silences.clear();
  }

  /** Forgets owners that hold nothing any more. */
  keepOnly(owners: readonly RequestOwner[]): void {
    const kept = new Set(owners.map(nameOf));
    for (const name of this.silences.keys())
      if (!kept.has(name)) this.silences.delete(name);
  }
}

/** Names an owner, in maps. */
export function nameOf(owner: RequestOwner): string {
  return `${owner.host} ${owner.incarnation}`;
}
