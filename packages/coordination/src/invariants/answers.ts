/** Invariants of the answers that callers receive. */

import type {RequestId} from '../ids.js';
import type {InvariantViolation} from './check-invariants.js';
import {eventsOf} from './run-event.js';
import type {RunEvent} from './run-event.js';

/** Checks that no request is answered twice. */
export function findAnswerViolations(
  events: readonly RunEvent[],
): InvariantViolation[] {
  const answered = new Set<RequestId>();
  const violations: InvariantViolation[] = [];
  for (const event of eventsOf(events, 'request-answered')) {
    if (answered.has(event.request))
      violations.push({
        condition: 'no-second-answer',
        at: event.at,
        detail: `${event.request} was answered again`,
      });
    answered.add(event.request);
  }
  return violations;
}

/**
 * Checks that a caller receives each token of its own request once and in
 * order, and that a complete answer has all tokens.
 */
export function findWholeAnswerViolations(
  events: readonly RunEvent[],
): InvariantViolation[] {
  const deliveredCounts = new Map<RequestId, number>();
  const violations: InvariantViolation[] = [];
  const report = (at: number, detail: string) =>
    violations.push({condition: 'whole-answer', at, detail});
  for (const event of events) {
    if (event.kind === 'token-delivered') {
      const expected = deliveredCounts.get(event.request) ?? 0;
      if (event.madeFor !== event.request)
        report(
          event.at,
          `${event.request} received a token of ${event.madeFor}`,
        );
      if (event.offset !== expected)
        report(
          event.at,
          `${event.request} received token ${event.offset} instead of ${expected}`,
        );
      deliveredCounts.set(event.request, event.offset + 1);
    }
    if (event.kind === 'request-answered' && event.answer.kind === 'whole') {
      const count = deliveredCounts.get(event.request) ?? 0;
      if (count !== event.answer.tokens)
        report(
          event.at,
          `${event.request} completed with ${count} of ${event.answer.tokens} tokens`,
        );
    }
  }
  return violations;
}
