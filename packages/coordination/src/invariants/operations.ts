/** Invariants of changes that operators make under traffic. */

import type {HostId} from '../ids.js';
import type {InvariantBounds, InvariantViolation} from './check-invariants.js';
import {eventsOf} from './run-event.js';
import type {RunEvent} from './run-event.js';

/** Checks that a leaving upstream receives no new work after the bound. */
export function findLeavingViolations(
  events: readonly RunEvent[],
  bounds: InvariantBounds,
): InvariantViolation[] {
  const leavingAt = new Map(
    eventsOf(events, 'upstream-leaving').map(event => [
      event.upstream,
      event.at,
    ]),
  );
  return eventsOf(events, 'upstream-ran')
    .filter(event => {
      const at = leavingAt.get(event.upstream) ?? Infinity;
      return event.at > at + bounds.leavingMilliseconds;
    })
    .map(event => ({
      condition: 'leaving-upstream-gets-no-work',
      at: event.at,
      detail: `${event.upstream} received ${event.request}`,
    }));
}

/** Checks that a graceful shutdown aborts no request. */
export function findShutdownViolations(
  events: readonly RunEvent[],
): InvariantViolation[] {
  const draining = new Set(
    eventsOf(events, 'drain-started').map(event => event.host),
  );
  const hostOf = new Map(
    eventsOf(events, 'request-received').map(event => [
      event.request,
      event.host,
    ]),
  );
  return eventsOf(events, 'request-answered')
    .filter(({request, answer}) => {
      const host = hostOf.get(request);
      return answer.kind === 'cut' && host !== undefined && draining.has(host);
    })
    .map(event => ({
      condition: 'graceful-shutdown-cuts-nothing',
      at: event.at,
      detail: `${event.request} was aborted`,
    }));
}

/**
 * Checks that an accepted configuration becomes active in time and that no host
 * reverts to an older version.
 */
export function findConfigurationViolations(
  events: readonly RunEvent[],
  bounds: InvariantBounds,
): InvariantViolation[] {
  return [
    ...findReversions(events),
    ...findLateVersions(events, bounds.configurationMilliseconds),
  ];
}

function findReversions(events: readonly RunEvent[]): InvariantViolation[] {
  const newest = new Map<HostId, bigint>();
  const violations: InvariantViolation[] = [];
  for (const {at, host, version} of eventsOf(events, 'version-in-force')) {
    const known = newest.get(host) ?? 0n;
    if (version < known)
      violations.push({
        condition: 'configuration-in-force-and-forward',
        at,
        detail: `${host} reverted from version ${known} to ${version}`,
      });
    if (version > known) newest.set(host, version);
  }
  return violations;
}

function findLateVersions(
  events: readonly RunEvent[],
  boundMilliseconds: number,
): InvariantViolation[] {
  const applied = eventsOf(events, 'version-in-force');
  const violations: InvariantViolation[] = [];
  for (const {at, version, hosts} of eventsOf(events, 'version-published')) {
    const limit = at + boundMilliseconds;
    for (const host of hosts) {
      const isInTime = applied.some(
        event =>
          event.host === host && event.version >= version && event.at <= limit,
      );
      if (!isInTime)
        violations.push({
          condition: 'configuration-in-force-and-forward',
          at: limit,
          detail: `${host} has not activated version ${version}`,
        });
    }
  }
  return violations;
}
