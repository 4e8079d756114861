/**
 * Health of an engine as observed by this host. Failures eject the engine for a
 * time, slowness limits its concurrency, and successes raise the limit again.
 */

const initialEjectionMilliseconds = 250;
const maximumEjectionMilliseconds = 8_000;
/**
 * Concurrent requests of this host to an engine after an ejection or when slow.
 */
const probeConcurrencyLimit = 1;
/** The engine counts as recovered once its limit reaches this value. */
const recoveredConcurrencyLimit = 64;
/**
 * Slowness relative to the fastest candidate above which only probes are sent.
 */
const slownessThreshold = 2.5;
const slownessSmoothingFactor = 0.3;
const slownessHalfLifeMilliseconds = 5_000;

export class EngineHealth {
  private ejectedUntil = 0;
  private awaitsLoadReport = false;
  private ejectionMilliseconds = initialEjectionMilliseconds;
  private concurrencyLimit = Infinity;
  private slownessRatio = 1;
  private observedAt = 0;

  /**
   * Ratio of observed to expected time, at least 1. It decays with time,
   * because an avoided engine yields no observations.
   */
  slowness(now: number): number {
    const age = Math.max(0, now - this.observedAt);
    const decay = 0.5 ** (age / slownessHalfLifeMilliseconds);
    return Math.max(1, 1 + (this.slownessRatio - 1) * decay);
  }

  /**
   * True when the engine can take a request in addition to `inFlight` requests
   * of this host. Slowness is compared with the fastest candidate, because load
   * that slows down all engines does not indicate a fault of a single one.
   */
  canAdmit(now: number, inFlight: number, lowestSlowness: number): boolean {
    if (!this.isAvailable(now)) return false;
    const isSlow = this.slowness(now) > slownessThreshold * lowestSlowness;
    return inFlight < (isSlow ? probeConcurrencyLimit : this.concurrencyLimit);
  }

  /** True when the engine is not ejected at `now`. */
  isAvailable(now: number): boolean {
    return !this.awaitsLoadReport && now >= this.ejectedUntil;
  }

  /**
   * Records a load report. An ejected engine stays ejected until it sends one.
   */
  recordReport(): void {
    this.awaitsLoadReport = false;
  }

  recordFailure(now: number): void {
    this.awaitsLoadReport = true;
    // Requests that fail together eject the engine only once.
    if (now < this.ejectedUntil) return;
    this.ejectedUntil = now + this.ejectionMilliseconds;
    this.ejectionMilliseconds = Math.min(
      maximumEjectionMilliseconds,
      this.ejectionMilliseconds * 2,
    );
    this.concurrencyLimit = probeConcurrencyLimit;
  }

  /**
   * Records finished work, which doubles a reduced concurrency limit until the
   * engine counts as recovered. Load reports alone do not raise the limit.
   */
  recordSuccess(): void {
    if (this.concurrencyLimit === Infinity) return;
    this.concurrencyLimit *= 2;
    if (this.concurrencyLimit < recoveredConcurrencyLimit) return;
    this.concurrencyLimit = Infinity;
    this.ejectionMilliseconds = initialEjectionMilliseconds;
  }

  /**
   * Records the observed duration of work relative to its expected duration.
   */
  recordDuration(
    now: number,
    observedMilliseconds: number,
    expectedMilliseconds: number,
  ): void {
    const slownessRatio =
      observedMilliseconds / Math.max(1, expectedMilliseconds);
    const boundedRatio = Math.min(20, Math.max(0.5, slownessRatio));
    const decayedSlowness = this.slowness(now);
    this.slownessRatio =
      decayedSlowness +
      slownessSmoothingFactor * (boundedRatio - decayedSlowness);
    this.observedAt = now;
  }
}
