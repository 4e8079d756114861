/**
 * Tracks restores of the platform's store. A store that is restored from a copy
 * loses the writes since that copy, gives their revisions out again, and starts
 * a new epoch. Until the writers have repeated what was lost, a read proves
 * neither that a configuration is the newest nor that an upstream still exists.
 */

import type {Clock} from '../clock.js';

/** What an epoch that came with a read says about this read. */
export type EpochObservation =
  | 'current'
  /** The store was restored since the last read. */
  | 'restored'
  /** The read is a late answer of the store before its restore. */
  | 'outdated'
  /** The epoch is further ahead than restores explain. */
  | 'implausible';

/** Time in which writers repeat what a restore has lost. */
const settleMilliseconds = 2500;

/** The epoch of a store that was never restored. */
const firstEpoch = 1;

/** Restores that a host may have missed while it could not read the store. */
const maximumMissedRestores = 16;

/**
 * An unexpected epoch is adopted once all reads have shown it for this long, so
 * that a wrong value cannot lock a host out.
 */
const unexpectedEpochMilliseconds = 10_000;

interface KnownEpoch {
  readonly epoch: number;
  /** Clock time at which a host of the fleet first read from this epoch. */
  learnedAt: number;
}

export class RestoreEpochs {
  private known: KnownEpoch | undefined;
  private unexpected: KnownEpoch | undefined;
  private reportedByPeers: KnownEpoch | undefined;

  constructor(private readonly clock: Clock) {}

  /** The epoch of the last read; undefined if the store reports none. */
  get current(): number | undefined {
    return this.known?.epoch;
  }

  /** Time since the fleet learned of this epoch; infinite if it is the first. */
  ageMilliseconds(): number {
    return this.clock.now() - (this.known?.learnedAt ?? -Infinity);
  }

  /** Returns whether the writers have had time to repeat lost writes. */
  isSettled(): boolean {
    return this.ageMilliseconds() >= settleMilliseconds;
  }

  /** Records the epoch that came with a read. */
  observe(epoch: number): EpochObservation {
    const {known} = this;
    if (known === undefined) {
      this.adopt(epoch);
      return 'current';
    }
    if (epoch === known.epoch) {
      this.unexpected = undefined;
      return 'current';
    }
    const isExpected =
      epoch > known.epoch && epoch - known.epoch <= maximumMissedRestores;
    if (!isExpected && !this.hasPersisted(epoch))
      return epoch < known.epoch ? 'outdated' : 'implausible';
    this.adopt(epoch);
    return 'restored';
  }

  /** Records that a peer learned of `epoch` at least `ageMilliseconds` ago. */
  recordPeer(epoch: number, ageMilliseconds: number): void {
    const learnedAt = this.clock.now() - ageMilliseconds;
    if (epoch === this.known?.epoch)
      this.known.learnedAt = Math.min(this.known.learnedAt, learnedAt);
    const reported = this.reportedByPeers;
    if (reported === undefined || epoch > reported.epoch)
      this.reportedByPeers = {epoch, learnedAt};
    else if (epoch === reported.epoch)
      reported.learnedAt = Math.min(reported.learnedAt, learnedAt);
  }

  private adopt(epoch: number): void {
    const reported = this.reportedByPeers;
    // A process that has just started cannot know when the last restore was.
    const learnedAt =
      this.known === undefined && epoch <= firstEpoch
        ? -Infinity
        : this.clock.now();
    this.known = {
      epoch,
      learnedAt:
        reported?.epoch === epoch
          ? Math.min(learnedAt, reported.learnedAt)
          : learnedAt,
    };
    this.unexpected = undefined;
  }

  private hasPersisted(epoch: number): boolean {
    const now = this.clock.now();
    if (this.unexpected?.epoch !== epoch)
      this.unexpected = {epoch, learnedAt: now};
    return now - this.unexpected.learnedAt >= unexpectedEpochMilliseconds;
  }
}
