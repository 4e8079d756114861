/** Interface through which a platform adapter supplies configuration. */

import type {
  ConfigurationFreshness,
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
  /** Applies a configuration; versions that are not newer are ignored. */
  onConfiguration(published: PublishedConfiguration): void;
  /** Replaces the list of upstreams. */
  onUpstreams(upstreams: ReadonlyMap<string, UpstreamDocument>): void;
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
