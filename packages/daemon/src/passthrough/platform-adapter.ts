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

/** A running host. */
export interface PassthroughDaemon {
  /** Bound addresses, with the port filled in where the system chose it. */
  readonly addresses: {
    readonly callers: string;
    readonly readiness: string;
    readonly beats: string;
  };
  /** Applies settings that can change at runtime and logs the others. */
  applySettings(settings: PassthroughSettings, fingerprint: string): void;
  /** Stops accepting calls, finishes those in flight, and closes. */
  close(): Promise<void>;
}
