/** What an adapter of a platform brings along, and the host that it gets. */

import type {EarlyListener} from './early-listener.js';
import type {PassthroughSettings} from './passthrough-settings.js';
import type {PlatformFeed} from './platform-feed.js';
import type {CallerWireFormat, UpstreamWireFormat} from './wire-format.js';

/** What an adapter brings along. */
export interface PlatformAdapter {
  readonly settings: PassthroughSettings;
  readonly callerWire: CallerWireFormat;
  readonly upstreamWire: UpstreamWireFormat;
  readonly feed: PlatformFeed;
  /** Tells one text of the settings from another, in logs. */
  readonly fingerprint: string;
  /** The port for callers, where it was opened before; else it is opened. */
  readonly listener?: EarlyListener;
}

/** A host that runs. */
export interface PassthroughDaemon {
  /** Addresses in use, where the settings let the system choose a port. */
  readonly addresses: {
    readonly callers: string;
    readonly readiness: string;
    readonly beats: string;
  };
  /** Takes over what can change of `settings`, and says what can not. */
  applySettings(settings: PassthroughSettings, fingerprint: string): void;
  /** Stops taking calls, finishes those in flight, and closes. */
  close(): Promise<void>;
}
