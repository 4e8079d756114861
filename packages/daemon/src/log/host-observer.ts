/** Logs the events of a host. */

import type {HostObserver} from '@persimmonwick/coordination';
import type {EventLog} from './logger.js';

const maximumLoggedFaults = 5;

export function createHostObserver(log: EventLog): HostObserver {
  return {
    configurationApplied: ({version, documents}, origin) =>
      log.write('configurationApplied', {
        version: Number(version),
        documents: documents.size,
        source: origin.kind,
      }),
    configurationRefused: ({version, faults}) =>
      log.write('configurationRefused', {
        version: Number(version),
        faults: JSON.stringify(faults.slice(0, maximumLoggedFaults)),
      }),
    platformFailed: ({address, reason}) =>
      log.write('platformUnreachable', {address, reason}),
    attemptSwept: ({attempt, owner}, engine, reason) =>
      log.write('attemptSwept', {
        upstream: engine.id,
        attempt,
        owner: owner.host,
        reason,
      }),
  };
}
