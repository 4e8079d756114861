/** Checks a recorded run against the ten invariants of the product. */

import {findAnswerViolations, findWholeAnswerViolations} from './answers.js';
import {
  findConfigurationViolations,
  findLeavingViolations,
  findShutdownViolations,
} from './operations.js';
import {
  findMemoryViolations,
  findNotRunViolations,
  findRepeatedExecutions,
} from './execution.js';
import {findAccountViolations, findRateViolations} from './accounts.js';
import type {RunEvent} from './run-event.js';

/** The ten invariants, in the order of docs/design/README.md. */
export const conditions = [
  'no-memory-held-by-gone-requests',
  'no-second-answer',
  'account-of-key-only',
  'rate-and-burst',
  'whole-answer',
  'not-run-is-true',
  'at-most-once',
  'leaving-upstream-gets-no-work',
  'graceful-shutdown-cuts-nothing',
  'configuration-in-force-and-forward',
] as const;

export type Condition = (typeof conditions)[number];

/** A violation of an invariant. */
export interface Violation {
  readonly condition: Condition;
  readonly at: number;
  readonly detail: string;
}

/** The time after its cause by which each timed invariant must hold. */
export interface InvariantBounds {
  readonly memoryMilliseconds: number;
  readonly keyWithdrawalMilliseconds: number;
  readonly leavingMilliseconds: number;
  readonly configurationMilliseconds: number;
}

/** The documented bounds of the product. */
export const defaultInvariantBounds: InvariantBounds = {
  memoryMilliseconds: 30_000,
  keyWithdrawalMilliseconds: 7_000,
  leavingMilliseconds: 3_000,
  configurationMilliseconds: 7_000,
};

/** Returns all violations in a run, ordered by time. */
export function checkInvariants(
  events: readonly RunEvent[],
  bounds: InvariantBounds = defaultInvariantBounds,
): Violation[] {
  const ordered = [...events].sort((left, right) => left.at - right.at);
  const violations = [
    ...findMemoryViolations(ordered, bounds),
    ...findAnswerViolations(ordered),
    ...findAccountViolations(ordered, bounds),
    ...findRateViolations(ordered),
    ...findWholeAnswerViolations(ordered),
    ...findNotRunViolations(ordered),
    ...findRepeatedExecutions(ordered),
    ...findLeavingViolations(ordered, bounds),
    ...findShutdownViolations(ordered),
    ...findConfigurationViolations(ordered, bounds),
  ];
  return violations.sort((left, right) => left.at - right.at);
}
