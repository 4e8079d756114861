/** Writes the decisions of a host to the log, within bounds. */

import type {
  CallEvent,
  FleetChange,
  UpstreamDocument,
} from '@persimmonwick/coordination';
import type {EventLog} from '../log/logger.js';
import type {CallEnd} from './call-server.js';

/** Writes one decision about the call `request`. */
export function logCallEvent(
  log: EventLog,
  request: string,
  event: CallEvent,
): void {
  switch (event.kind) {
    case 'admitted': {
      const {kind: _, ...fields} = event;
      return log.write('callAdmitted', {request, ...rounded(fields)});
    }
    case 'over-rate': {
      const {kind: _, ...fields} = event;
      return log.write('callOverRate', {request, ...rounded(fields)});
    }
    case 'chosen': {
      const {kind: _, ...fields} = event;
      return log.write('upstreamChosen', {request, ...rounded(fields)});
    }
    case 'stage-done': {
      const {kind: _, ...fields} = event;
      return log.write('callStageDone', {request, ...rounded(fields)});
    }
    case 'retried': {
      const {kind: _, ...fields} = event;
      return log.write('callRetried', {request, ...fields});
    }
    case 'retry-withheld':
      return log.write('callRetryWithheld', {request, reason: event.reason});
    case 'resumed': {
      const {kind: _, ...fields} = event;
      return log.write('streamResumed', {request, ...fields});
    }
  }
}

/** Writes how a call ended. */
export function logCallEnd(
  log: EventLog,
  {id: request, account, route, status, milliseconds, failure}: CallEnd,
): void {
  const common = {request, account, route, status};
  if (failure === undefined)
    log.write('requestFinished', {
      ...common,
      milliseconds: Math.round(milliseconds),
    });
  else
    log.write('requestFailed', {
      ...common,
      code: failure.code,
      ran: failure.ran,
    });
}

/** Writes what changed in the list of upstreams. */
export function logUpstreamChanges(
  log: EventLog,
  changes: Readonly<
    Record<'joined' | 'leaving' | 'gone', readonly UpstreamDocument[]>
  >,
): void {
  for (const change of ['joined', 'leaving', 'gone'] as const)
    for (const {name, spec} of changes[change])
      log.write('upstreamChanged', {
        upstream: name,
        change,
        address: spec.address,
        domain: spec.failureDomain,
      });
}

/** Writes whether connections to an upstream can be made. */
export function logReachability(
  log: EventLog,
  upstream: string,
  isReachable: boolean,
): void {
  const change = isReachable ? 'reached' : 'unreachable';
  log.write('upstreamReachability', {upstream, change});
}

/** Writes a change of what is believed of another host. */
export function logFleetChange(
  log: EventLog,
  {kind, host}: FleetChange,
  hosts: number,
): void {
  log.write('hostChanged', {peer: host, change: kind, hosts});
}

const digits = 100;

/** The same fields with numbers of two decimals. */
function rounded<Fields extends Record<string, string | number>>(
  fields: Fields,
): Fields {
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [
      name,
      typeof value === 'number' ? Math.round(value * digits) / digits : value,
    ]),
  ) as Fields;
}
