/** API for platform adapters, which start passthrough hosts. */

export {startPassthroughDaemon} from './passthrough-daemon.js';
export type {PassthroughDaemon, PlatformAdapter} from './platform-adapter.js';
export type {PassthroughSettings} from './passthrough-settings.js';
export type * from './platform-feed.js';
export type * from './wire-format.js';
/** For tests of the wire format of an adapter. */
export {HttpPassthroughTransport} from './http-transport.js';
export type {UpstreamReports} from './http-transport.js';
export {UpstreamConnections} from '../connections/upstream-connections.js';
export {PauseAwareTimeout} from '../connections/pause-aware-timeout.js';
export {hopByHopHeaders} from '../connections/exchange.js';
export {createEventLog} from '../log/logger.js';
export type {EventLog} from '../log/logger.js';
