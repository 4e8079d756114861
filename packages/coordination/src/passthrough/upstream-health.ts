/**
 * Health of one upstream as observed by one host. Failed connections describe
 * the network path to the upstream; failed responses describe the upstream
 * itself.
 */

/** Initial backoff after a connection could not be made. */
const initialUnreachableBackoffMilliseconds = 200;
const maximumUnreachableBackoffMilliseconds = 2000;

/** Weight of one outcome in the moving average of failures. */
const failureGain = 0.2;

/** Failure share at and above which an upstream gets only trial calls. */
const trialThreshold = 0.5;
const trialIntervalMilliseconds = 500;

/** Failure share assigned to an upstream that is reachable again. */
const recoveredFailureShare = 0.8;

/** Half-life of observations. */
const observationHalfLifeMilliseconds = 3000;

/**
 * Backoff after another process answered at the address. The entry of a removed
 * upstream stays listed for several of its heartbeats.
 */
const misdirectedBackoffMilliseconds = 4000;

/** Weight of one observed time in the moving average of slowness. */
const slownessGain = 0.25;

export class UpstreamHealth {
  private unreachableUntil = -Infinity;
  private suspectUntil = -Infinity;
  private responseAt = -Infinity;
  private unreachableBackoffMilliseconds =
    initialUnreachableBackoffMilliseconds;
  private lastFailureShare = 0;
  private failureShareAt = 0;
  private lastSlowness = 1;
  private slownessAt = 0;
  private nextTrialAt = -Infinity;
  private misdirectedUntil = -Infinity;

  /**
   * `onUnreachable` is called when the upstream becomes unreachable, `onSilence`
   * when it becomes suspect.
   */
  constructor(
    private readonly onUnreachable: () => void = () => undefined,
    private readonly onSilence: () => void = () => undefined,
  ) {}

  /** Clock time of the last response over a connection of its own. */
  get lastResponseAt(): number {
    return this.responseAt;
  }

  /** Fraction of recent calls that failed, from 0 to 1. Decays with time. */
  failureShare(now: number): number {
    return this.lastFailureShare * decayAfter(now - this.failureShareAt);
  }

  /** Ratio of observed time to baseline, at least 1. Decays towards 1. */
  slowness(now: number): number {
    return 1 + (this.lastSlowness - 1) * decayAfter(now - this.slownessAt);
  }

  /** Returns whether no connection to the upstream can be made. */
  isUnreachable(now: number): boolean {
    return now < this.unreachableUntil;
  }

  /**
   * Returns whether the upstream is silent and a probe may show whether it is
   * lost.
   */
  isSuspect(now: number): boolean {
    return now < this.suspectUntil && !this.isUnreachable(now);
  }

  /** Returns whether a new call may be sent to the upstream. */
  isUsable(now: number): boolean {
    const blockedUntil = Math.max(
      this.unreachableUntil,
      this.suspectUntil,
      this.misdirectedUntil,
    );
    if (now < blockedUntil) return false;
    return this.failureShare(now) < trialThreshold || now >= this.nextTrialAt;
  }

  /**
   * Records the start of an attempt. Delays the next trial call if the failure
   * share is high.
   */
  recordAttempt(now: number): void {
    if (this.failureShare(now) >= trialThreshold)
      this.nextTrialAt = now + trialIntervalMilliseconds;
  }

  /** Records a successful response. */
  recordSuccess(now: number): void {
    this.unreachableBackoffMilliseconds = initialUnreachableBackoffMilliseconds;
    this.setFailureShare(now, this.failureShare(now) * (1 - failureGain));
  }

  /** Records a failed call or an invalid response. */
  recordFailure(now: number): void {
    const share = this.failureShare(now);
    this.setFailureShare(now, share + (1 - share) * failureGain);
  }

  /**
   * Records that the upstream could not be reached or did not complete a
   * reservation.
   */
  recordUnreachable(now: number): void {
    if (now < this.unreachableUntil) return;
    this.unreachableUntil = now + this.takeBackoff();
    this.onUnreachable();
  }

  /**
   * Records that a call got no byte in time. The upstream is suspect and gets no
   * calls for some time, but does not count as unreachable.
   */
  recordSilence(now: number): void {
    if (now < this.unreachableUntil || now < this.suspectUntil) return;
    this.suspectUntil = now + this.takeBackoff();
    this.onSilence();
  }

  /** Keeps a suspect upstream from calls until `time`, or until it answers. */
  holdUntil(time: number): void {
    this.suspectUntil = Math.max(this.suspectUntil, time);
  }

  /** Records that a suspect upstream answered a probe. */
  recordAnswer(): void {
    this.suspectUntil = -Infinity;
    this.unreachableBackoffMilliseconds = initialUnreachableBackoffMilliseconds;
  }

  /** Records a response over a connection of its own. */
  recordResponse(now: number): void {
    this.responseAt = now;
  }

  /** Allows only trial calls until some succeed. */
  requireTrials(now: number): void {
    this.setFailureShare(
      now,
      Math.max(this.failureShare(now), recoveredFailureShare),
    );
  }

  /** Suspends the upstream until `time`, or until it is reachable. */
  suspendUntil(time: number): void {
    this.unreachableUntil = Math.max(this.unreachableUntil, time);
  }

  /**
   * Ends the suspension. Only trial calls are allowed until some succeed,
   * because another process may have the address.
   */
  recordReachable(now: number): void {
    this.endSuspension();
    this.requireTrials(now);
  }

  /**
   * Blocks calls for some time after another process answered at the address,
   * because that process may accept reservations.
   */
  recordMisdirected(now: number): void {
    this.misdirectedUntil = now + misdirectedBackoffMilliseconds;
  }

  /**
   * Records the duration of a call, divided by the baseline of that kind of
   * call.
   */
  recordDurationRatio(now: number, observedRatio: number): void {
    const before = this.slowness(now);
    this.lastSlowness = Math.max(
      1,
      before + (observedRatio - before) * slownessGain,
    );
    this.slownessAt = now;
  }

  /** Ends the suspension without a judgement on the process. */
  endSuspension(): void {
    this.unreachableUntil = -Infinity;
    this.suspectUntil = -Infinity;
    this.unreachableBackoffMilliseconds = initialUnreachableBackoffMilliseconds;
  }

  /** Forgets all observations, for another process of the same name. */
  reset(): void {
    this.endSuspension();
    this.responseAt = -Infinity;
    this.misdirectedUntil = -Infinity;
    this.nextTrialAt = -Infinity;
    this.lastFailureShare = 0;
    this.lastSlowness = 1;
  }

  private takeBackoff(): number {
    const milliseconds = this.unreachableBackoffMilliseconds;
    this.unreachableBackoffMilliseconds = Math.min(
      maximumUnreachableBackoffMilliseconds,
      2 * milliseconds,
    );
    return milliseconds;
  }

  private setFailureShare(now: number, share: number): void {
    this.lastFailureShare = share;
    this.failureShareAt = now;
  }
}

function decayAfter(age: number): number {
  return 0.5 ** (Math.max(0, age) / observationHalfLifeMilliseconds);
}
