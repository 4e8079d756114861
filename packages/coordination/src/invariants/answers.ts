/** Conditions on what callers receive. */

import type {RequestId} from '../ids.js';
import type {Violation} from './check-invariants.js';
import {eventsOf} from './run-event.js';
import type {RunEvent} from './run-event.js';

/** No request is answered twice. */
export function findAnswerViolations(events: readonly RunEvent[]): Violation[] {
  const answered = new Set<RequestId>();
  const violations: Violation[] = [];
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

/** A caller gets each token of its own request once, in order, to the end. */
export function findWholeAnswerViolations(
  events: readonly RunEvent[],
): Violation[] {
  const delivered = new Map<RequestId, number>();
  const violations: Violation[] = [];
  const report = (at: number, detail: string) =>
    violations.push({condition: 'whole-answer', at, detail});
  for (const event of events) {
    if (event.kind === 'token-delivered') {
      const expected = delivered.get(event.request) ?? 0;
      if (event.madeFor !== event.request)
        report(event.at, `${event.request} got a token of ${event.madeFor}`);
      if (event.offset !== expected)
        report(
          event.at,
          `${event.request} got token ${event.offset}, not ${expected}`,
        );
      delivered.set(event.request, event.offset + 1);
    }
    if (event.kind === 'request-answered' && event.answer.kind === 'whole') {
      const count = delivered.get(event.request) ?? 0;
      if (count !== event.answer.tokens)
        report(
          event.at,
          `${event.request} ended whole with ${count} of ${event.answer.tokens} tokens`,
        );
    }
  }
  return violations;
}
