/**
 * What one host has observed of one upstream. That it can't be reached says
 * something about the way there; failed answers say something about it.
 */

/** First time without new calls after a connection could not be made. */
const firstUnreachableMilliseconds = 200;
const longestUnreachableMilliseconds = 2000;

/** Weight of one outcome in the moving share of failures. */
const failureGain = 0.2;

/** Share of failures from which an upstream gets trial calls only. */
const failingShare = 0.5;
const trialMilliseconds = 500;

/** Share of failures that an upstream counts with when it is reached again. */
const returningShare = 0.8;

/** Time in which half of what was observed is forgotten. */
const forgettingMilliseconds = 3000;

/**
 * Rest after another process answered at the address. The entry of a server that
 * is gone stays listed for some of its heartbeats.
 */
const misdirectedMilliseconds = 4000;

/** Weight of one observed time in the moving slowness. */
const slownessGain = 0.25;

export class UpstreamHealth {
  private unreachableUntil = -Infinity;
  private unreachableMilliseconds = firstUnreachableMilliseconds;
  private failures = 0;
  private failuresAt = 0;
  private ratio = 1;
  private ratioAt = 0;
  private nextTrialAt = -Infinity;
  private misdirectedUntil = -Infinity;

  /** `onUnreachable` is called when the upstream begins to be unreachable. */
  constructor(private readonly onUnreachable: () => void = () => undefined) {}

  /** Part of the late calls that failed, from 0 to 1; fades with time. */
  failureShare(now: number): number {
    return this.failures * faded(now - this.failuresAt);
  }

  /** Observed over usual time, from 1 up; fades with time. */
  slowness(now: number): number {
    return 1 + (this.ratio - 1) * faded(now - this.ratioAt);
  }

  /** True when a new call may go there now. */
  isUsable(now: number): boolean {
    if (now < this.unreachableUntil || now < this.misdirectedUntil)
      return false;
    return this.failureShare(now) < failingShare || now >= this.nextTrialAt;
  }

  /** Notes that a call goes there. */
  recordStart(now: number): void {
    if (this.failureShare(now) >= failingShare)
      this.nextTrialAt = now + trialMilliseconds;
  }

  /** The upstream answered a call as it should. */
  recordSuccess(now: number): void {
    this.unreachableMilliseconds = firstUnreachableMilliseconds;
    this.setFailures(now, this.failureShare(now) * (1 - failureGain));
  }

  /** The upstream failed a call, or its answer was no good. */
  recordFailure(now: number): void {
    const share = this.failureShare(now);
    this.setFailures(now, share + (1 - share) * failureGain);
  }

  /** No connection could be made, or one fell silent. */
  recordUnreachable(now: number): void {
    if (now < this.unreachableUntil) return;
    this.unreachableUntil = now + this.unreachableMilliseconds;
    this.unreachableMilliseconds = Math.min(
      longestUnreachableMilliseconds,
      2 * this.unreachableMilliseconds,
    );
    this.onUnreachable();
  }

  /** Keeps calls away until `time`, unless it is reached before. */
  rest(time: number): void {
    this.unreachableUntil = Math.max(this.unreachableUntil, time);
  }

  /** A connection could be made again, perhaps to another process. */
  recordReachable(now: number): void {
    this.unreachableUntil = -Infinity;
    this.unreachableMilliseconds = firstUnreachableMilliseconds;
    this.setFailures(now, Math.max(this.failureShare(now), returningShare));
  }

  /** The address belongs to another process now; it may take reservations. */
  recordMisdirected(now: number): void {
    this.misdirectedUntil = now + misdirectedMilliseconds;
  }

  /** Notes a time as a multiple of what is usual for such a call. */
  recordTime(now: number, ratio: number): void {
    const before = this.slowness(now);
    this.ratio = Math.max(1, before + (ratio - before) * slownessGain);
    this.ratioAt = now;
  }

  private setFailures(now: number, share: number): void {
    this.failures = share;
    this.failuresAt = now;
  }
}

function faded(age: number): number {
  return 0.5 ** (Math.max(0, age) / forgettingMilliseconds);
}
