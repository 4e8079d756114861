/** Public API of the daemon package. */

export {startDaemon} from './daemon.js';
export type {Daemon} from './daemon.js';
export {loadSettings} from './load-settings.js';
export {createEventLog, silentLog} from './log/logger.js';
export type {EventLog} from './log/logger.js';
export {StartError} from './start-error.js';
export * from './peers/index.js';
export type * from './operators/request-observer.js';
export type {Explanation} from './operators/explain.js';
export type {
  PeerStatus,
  UpstreamStatus,
} from './operators/operator-dependencies.js';
