/** Conditions on what upstreams run and hold. */

import type {AttemptId, RequestId} from '../ids.js';
import type {InvariantBounds, Violation} from './check-invariants.js';
import {eventsOf} from './run-event.js';
import type {AtMostOnceKey, RunEvent} from './run-event.js';

/** No engine memory stays held by requests that are gone. */
export function findMemoryViolations(
  events: readonly RunEvent[],
  bounds: InvariantBounds,
): Violation[] {
  const goneAt = findGoneRequests(events);
  const freedAt = new Map<string, number>();
  for (const event of eventsOf(events, 'memory-freed'))
    freedAt.set(holding(event.upstream, event.attempt), event.at);
  const endedAt = eventsOf(events, 'run-ended')[0]?.at ?? -Infinity;
  const violations: Violation[] = [];
  for (const event of eventsOf(events, 'memory-held')) {
    const gone = goneAt.get(event.request);
    if (gone === undefined) continue;
    const freed = freedAt.get(holding(event.upstream, event.attempt));
    const heldUntil = freed ?? endedAt;
    const limit = Math.max(gone, event.at) + bounds.memoryMilliseconds;
    if (heldUntil > limit)
      violations.push({
        condition: 'no-memory-held-by-gone-requests',
        at: limit,
        detail: `${event.upstream} holds memory for ${event.attempt} of ${event.request}`,
      });
  }
  return violations;
}

/** A refusal that says "not run" is true, also of what happens later. */
export function findNotRunViolations(events: readonly RunEvent[]): Violation[] {
  const refused = new Set<RequestId>();
  for (const {request, answer} of eventsOf(events, 'request-answered'))
    if (answer.kind === 'failed' && answer.ran === 'not-run')
      refused.add(request);
  return eventsOf(events, 'upstream-ran')
    .filter(event => event.phase !== 'prefill' && refused.has(event.request))
    .map(event => ({
      condition: 'not-run-is-true',
      at: event.at,
      detail: `${event.request} ran at ${event.upstream}`,
    }));
}

/** A request that may not be repeated runs at most once. */
export function findOnceViolations(events: readonly RunEvent[]): Violation[] {
  const keys = new Map(
    eventsOf(events, 'request-received').map(event => [
      event.request,
      event.atMostOnceKey,
    ]),
  );
  const ran = new Map<string, RequestId>();
  const violations: Violation[] = [];
  for (const event of eventsOf(events, 'upstream-ran')) {
    const once = keys.get(event.request);
    if (once === undefined) continue;
    const name = nameOf(once);
    const earlier = ran.get(name);
    if (earlier !== undefined)
      violations.push({
        condition: 'at-most-once',
        at: event.at,
        detail: `${once.idempotencyKey} ran as ${earlier} and ${event.request}`,
      });
    ran.set(name, event.request);
  }
  return violations;
}

/** When each request was answered, or its host lost. */
function findGoneRequests(events: readonly RunEvent[]): Map<RequestId, number> {
  const goneAt = new Map<RequestId, number>();
  const hostOf = new Map(
    eventsOf(events, 'request-received').map(event => [
      event.request,
      event.host,
    ]),
  );
  for (const event of eventsOf(events, 'request-answered'))
    goneAt.set(event.request, event.at);
  for (const lost of eventsOf(events, 'host-lost'))
    for (const [request, host] of hostOf)
      if (host === lost.host && !goneAt.has(request))
        goneAt.set(request, lost.at);
  return goneAt;
}

function holding(upstream: string, attempt: AttemptId): string {
  return `${upstream} ${attempt}`;
}

function nameOf({account, route, idempotencyKey}: AtMostOnceKey): string {
  return JSON.stringify([account, route, idempotencyKey]);
}
