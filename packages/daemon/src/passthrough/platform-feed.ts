/** What an adapter of a platform tells the daemon. */

import type {
  ConfigurationFreshness,
  UpstreamDocument,
} from '@persimmonwick/coordination';
import type {CallerLimits} from './call-server.js';

/** A configuration as the platform published it, in documents. */
export interface PublishedConfiguration {
  readonly version: bigint;
  readonly documents: readonly unknown[];
  readonly limits: CallerLimits;
}

/** Takes what was read of the platform. */
export interface FeedSink {
  readonly freshness: ConfigurationFreshness;
  /** A version that was read; older ones are ignored. */
  onConfiguration(published: PublishedConfiguration): void;
  /** The whole list of upstreams. */
  onUpstreams(upstreams: ReadonlyMap<string, UpstreamDocument>): void;
  /** A read failed, or succeeded for the first time after that. */
  onReachability(isReachable: boolean, reason: string): void;
  /** A published value can't be used and was left out. */
  onMalformedValue(key: string, reason: string): void;
}

/** Reads the platform from `start` until `close`. */
export interface PlatformFeed {
  start(sink: FeedSink): void;
  close(): Promise<void>;
}
