/** Timeouts and intervals of the configuration distribution. */

export interface DistributionTiming {
  /** Maximum duration of one watch request to the platform. */
  readonly platformWaitMilliseconds: number;
  /**
   * Time after `platformWaitMilliseconds` at which an unanswered watch is
   * cancelled.
   */
  readonly platformTimeoutMarginMilliseconds: number;
  /** Maximum duration of one long poll to a peer. */
  readonly peerWaitMilliseconds: number;
  /** Bounds of the retry interval after a failed or stale answer. */
  readonly minimumRetryIntervalMilliseconds: number;
  readonly maximumRetryIntervalMilliseconds: number;
  /** Maximum random delay of the first read of the platform. */
  readonly initialReadJitterMilliseconds: number;
  /**
   * Minimum time without an answer from any watcher before a fallback read. The
   * maximum is twice this.
   */
  readonly watcherTimeoutMilliseconds: number;
  /** Minimum interval between fallback reads; the maximum is twice this. */
  readonly fallbackIntervalMilliseconds: number;
}

export const defaultDistributionTiming: DistributionTiming = {
  platformWaitMilliseconds: 3000,
  platformTimeoutMarginMilliseconds: 1000,
  peerWaitMilliseconds: 30_000,
  minimumRetryIntervalMilliseconds: 300,
  maximumRetryIntervalMilliseconds: 900,
  initialReadJitterMilliseconds: 1000,
  watcherTimeoutMilliseconds: 3000,
  fallbackIntervalMilliseconds: 2000,
};

/** Number of hosts in each failure domain that watch the platform. */
export const watchersPerDomain = 2;
