/**
 * What a host has itself observed of an engine: failures close it for a time,
 * slowness limits it, and successes let it back in step by step.
 */

const firstClosureMilliseconds = 250;
const longestClosureMilliseconds = 8_000;
/** Own requests allowed at once right after a closure. */
const firstTrialLimit = 1;
/** From this limit on the engine counts as recovered. */
const recoveredLimit = 64;
/** Slowness, relative to the best engine of the pool, that allows trials only. */
const slowRatio = 2.5;
const slownessGain = 0.3;
const slownessHalfLifeMilliseconds = 5_000;

export class EngineHealth {
  private closedUntil = 0;
  private mustReport = false;
  private closureMilliseconds = firstClosureMilliseconds;
  private limit = Infinity;
  private ratio = 1;
  private observedAt = 0;

  /**
   * Observed over expected time, at least 1. It fades, so that an engine that
   * was avoided is tried again.
   */
  slowness(now: number): number {
    const age = Math.max(0, now - this.observedAt);
    const kept = 0.5 ** (age / slownessHalfLifeMilliseconds);
    return Math.max(1, 1 + (this.ratio - 1) * kept);
  }

  /**
   * True when a further request may go there beside `inFlight` own ones.
   * Slowness counts against the best engine of the same pool, because load that
   * slows all of them says nothing about one.
   */
  admits(now: number, inFlight: number, leastSlowness: number): boolean {
    if (!this.isOpen(now)) return false;
    const isSlow = this.slowness(now) > slowRatio * leastSlowness;
    return inFlight < (isSlow ? firstTrialLimit : this.limit);
  }

  /** True when no failure keeps the engine closed at `now`. */
  isOpen(now: number): boolean {
    return !this.mustReport && now >= this.closedUntil;
  }

  /** Counts a load report; a closed engine stays closed until there is one. */
  recordReport(): void {
    this.mustReport = false;
  }

  recordFailure(now: number): void {
    this.mustReport = true;
    // Requests that fail together are one event and close the engine once.
    if (now < this.closedUntil) return;
    this.closedUntil = now + this.closureMilliseconds;
    this.closureMilliseconds = Math.min(
      longestClosureMilliseconds,
      this.closureMilliseconds * 2,
    );
    this.limit = firstTrialLimit;
  }

  /** Counts finished work; only work raises the limit, not a load report. */
  recordSuccess(): void {
    if (this.limit === Infinity) return;
    this.limit *= 2;
    if (this.limit < recoveredLimit) return;
    this.limit = Infinity;
    this.closureMilliseconds = firstClosureMilliseconds;
  }

  /** Counts the time that work took against the time that it should take. */
  recordPace(
    now: number,
    observedMilliseconds: number,
    expectedMilliseconds: number,
  ): void {
    const ratio = observedMilliseconds / Math.max(1, expectedMilliseconds);
    const bounded = Math.min(20, Math.max(0.5, ratio));
    const faded = this.slowness(now);
    this.ratio = faded + slownessGain * (bounded - faded);
    this.observedAt = now;
  }
}
