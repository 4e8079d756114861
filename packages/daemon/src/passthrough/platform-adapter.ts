/** Interfaces between a platform adapter and the host that it starts. */

import type {EarlyListener} from './early-listener.js';
import type {PassthroughSettings} from './passthrough-settings.js';
import type {PlatformFeed} from './platform-feed.js';
import type {CallerWireFormat, UpstreamWireFormat} from './wire-format.js';

/** What an adapter supplies to start a host. */
export interface PlatformAdapter {
  readonly settings: PassthroughSettings;
  readonly callerWire: CallerWireFormat;
  readonly upstreamWire: UpstreamWireFormat;
  readonly feed: PlatformFeed;
  /** Identifies the text of the settings file in logs. */
  readonly fingerprint: string;
  /** Port for callers that is already open; the host opens one if absent. */
  readonly listener?: EarlyListener;
}

/** A running daemon: a passthrough host with its open ports. */
export interface PassthroughDaemon {
  /** Bound addresses, with the port filled in where the system chose it. */
  readonly addresses: {
    readonly callers: string;
    readonly readiness: string;
    readonly beats: string;
  };
  /**
   * Applies the settings that can change at runtime. Logs which ones were
   * applied and which ones need a restart.
   */
  applySettings(settings: PassthroughSettings, fingerprint: string): void;
  /**
   * Drains the host and closes it. Calls still in flight near the end of
   * `graceMilliseconds` are cut off. `signalledAt` is the clock time at which that
   * period began; now if absent.
   */
  close(signalledAt?: number): Promise<void>;
}
