/** Times of the configuration's distribution. */

export interface DistributionTiming {
  /** Longest wait of one watch of the platform. */
  readonly platformWaitMilliseconds: number;
  /** Time beyond the wait after which a silent watch is given up. */
  readonly platformGraceMilliseconds: number;
  /** Longest wait of one question to a peer. */
  readonly peerWaitMilliseconds: number;
  /** Pause after a failed or useless answer, at least and at most. */
  readonly retryMinimumMilliseconds: number;
  readonly retryMaximumMilliseconds: number;
  /** First reads of the platform are spread over this time. */
  readonly firstReadSpreadMilliseconds: number;
  /** A host whose watchers all failed for this long reads by itself. */
  readonly watcherSilenceMilliseconds: number;
  /** Time between two such reads: at least this and at most twice this. */
  readonly fallbackIntervalMilliseconds: number;
}

export const defaultDistributionTiming: DistributionTiming = {
  platformWaitMilliseconds: 3000,
  platformGraceMilliseconds: 1000,
  peerWaitMilliseconds: 30_000,
  retryMinimumMilliseconds: 300,
  retryMaximumMilliseconds: 900,
  firstReadSpreadMilliseconds: 1000,
  watcherSilenceMilliseconds: 3000,
  fallbackIntervalMilliseconds: 2000,
};

/** Watchers of the platform in each failure domain. */
export const watchersForEachDomain = 2;
