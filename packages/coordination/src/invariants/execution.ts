/** Invariants of the execution of requests and the memory of engines. */

import type {AttemptId, RequestId} from '../ids.js';
import type {InvariantBounds, InvariantViolation} from './check-invariants.js';
import {eventsOf} from './run-event.js';
import type {AtMostOnceKey, RunEvent} from './run-event.js';

/** Checks that engine memory is freed in time after a request has ended. */
export function findMemoryViolations(
  events: readonly RunEvent[],
  bounds: InvariantBounds,
): InvariantViolation[] {
  const endedAt = findRequestEndTimes(events);
  const freedAt = new Map<string, number>();
  for (const event of eventsOf(events, 'memory-freed'))
    freedAt.set(reservationKey(event.upstream, event.attempt), event.at);
  const runEndedAt = eventsOf(events, 'run-ended')[0]?.at ?? -Infinity;
  const violations: InvariantViolation[] = [];
  for (const event of eventsOf(events, 'memory-held')) {
    const requestEndedAt = endedAt.get(event.request);
    if (requestEndedAt === undefined) continue;
    const freed = freedAt.get(reservationKey(event.upstream, event.attempt));
    const heldUntil = freed ?? runEndedAt;
    const limit =
      Math.max(requestEndedAt, event.at) + bounds.memoryMilliseconds;
    if (heldUntil > limit)
      violations.push({
        condition: 'no-memory-held-by-gone-requests',
        at: limit,
        detail: `${event.upstream} holds memory for ${event.attempt} of ${event.request}`,
      });
  }
  return violations;
}

/**
 * Checks that a request that failed as `not-run` is executed neither before nor
 * after the answer.
 */
export function findNotRunViolations(
  events: readonly RunEvent[],
): InvariantViolation[] {
  const answeredNotRun = new Set<RequestId>();
  for (const {request, answer} of eventsOf(events, 'request-answered'))
    if (answer.kind === 'failed' && answer.ran === 'not-run')
      answeredNotRun.add(request);
  return eventsOf(events, 'upstream-ran')
    .filter(
      event => event.phase !== 'prefill' && answeredNotRun.has(event.request),
    )
    .map(event => ({
      condition: 'not-run-is-true',
      at: event.at,
      detail: `${event.request} was executed at ${event.upstream}`,
    }));
}

/** Checks that a request that must not be repeated is executed at most once. */
export function findRepeatedExecutions(
  events: readonly RunEvent[],
): InvariantViolation[] {
  const keys = new Map(
    eventsOf(events, 'request-received').map(event => [
      event.request,
      event.atMostOnceKey,
    ]),
  );
  const executed = new Map<string, RequestId>();
  const violations: InvariantViolation[] = [];
  for (const event of eventsOf(events, 'upstream-ran')) {
    const key = keys.get(event.request);
    if (key === undefined) continue;
    const name = serializeKey(key);
    const earlier = executed.get(name);
    if (earlier !== undefined)
      violations.push({
        condition: 'at-most-once',
        at: event.at,
        detail: `idempotency key ${key.idempotencyKey} was used by two executed requests: ${earlier} and ${event.request}`,
      });
    executed.set(name, event.request);
  }
  return violations;
}

/** Returns the time at which each request was answered or its host lost. */
function findRequestEndTimes(
  events: readonly RunEvent[],
): Map<RequestId, number> {
  const endedAt = new Map<RequestId, number>();
  const hostOf = new Map(
    eventsOf(events, 'request-received').map(event => [
      event.request,
      event.host,
    ]),
  );
  for (const event of eventsOf(events, 'request-answered'))
    endedAt.set(event.request, event.at);
  for (const lost of eventsOf(events, 'host-lost'))
    for (const [request, host] of hostOf)
      if (host === lost.host && !endedAt.has(request))
        endedAt.set(request, lost.at);
  return endedAt;
}

function reservationKey(upstream: string, attempt: AttemptId): string {
  return `${upstream} ${attempt}`;
}

function serializeKey({account, route, idempotencyKey}: AtMostOnceKey): string {
  return JSON.stringify([account, route, idempotencyKey]);
}
