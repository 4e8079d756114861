/** Interface through which a platform adapter supplies configuration. */

import type {
  ConfigurationFreshness,
  RestoreEpochs,
  UpstreamDocument,
} from '@persimmonwick/coordination';
import type {CallerLimits} from './passthrough-server.js';

/** One published version of the configuration. */
export interface PublishedConfiguration {
  readonly version: bigint;
  readonly documents: readonly unknown[];
  readonly limits: CallerLimits;
}

/** Receives the values that the adapter reads from the platform. */
export interface FeedSink {
  readonly freshness: ConfigurationFreshness;
  readonly epochs: RestoreEpochs;
  /**
   * Applies a configuration, unless its version is not newer. Returns whether
   * this version is in force now. `readStartedAt` is the clock time at which the
   * read of it started.
   */
  onConfiguration(
    published: PublishedConfiguration,
    readStartedAt: number,
  ): boolean;
  /** Reports that the store was restored from a copy. */
  onRestore(epoch: number): void;
  /**
   * Replaces the list of upstreams. `isCurrent` is false for a list that may lack
   * the latest entries of processes, because they could not be written before.
   */
  onUpstreams(
    upstreams: ReadonlyMap<string, UpstreamDocument>,
    readStartedAt: number,
    isCurrent: boolean,
  ): void;
  /**
   * Replaces the set of evacuated failure domains. Called before the first
   * configuration, if the platform publishes evacuations at all.
   */
  onEvacuations(failureDomains: ReadonlySet<string>): void;
  /** Reports whether the last read succeeded; only changes are logged. */
  onReachability(isReachable: boolean, reason: string): void;
  /** Reports why one read of `subject` failed. */
  onReadFailure(subject: string, reason: string): void;
  /** Reports a published value that is invalid and was ignored. */
  onMalformedValue(key: string, reason: string): void;
}

/** Reads from the platform between `start` and `close`. */
export interface PlatformFeed {
  start(sink: FeedSink): void;
  close(): Promise<void>;
}
