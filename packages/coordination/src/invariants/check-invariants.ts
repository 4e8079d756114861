/** Checks a recorded run against the ten conditions that always hold. */

import {findAnswerViolations, findWholeAnswerViolations} from './answers.js';
import {
  findConfigurationViolations,
  findLeavingViolations,
  findShutdownViolations,
} from './operations.js';
import {
  findMemoryViolations,
  findNotRunViolations,
  findOnceViolations,
} from './execution.js';
import {findAccountViolations, findRateViolations} from './accounts.js';
import type {RunEvent} from './run-event.js';

/** The ten conditions, in the order of docs/design/README.md. */
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

/** A condition that did not hold. */
export interface Violation {
  readonly condition: Condition;
  readonly at: number;
  readonly detail: string;
}

/** How long after its cause each condition may take to hold. */
export interface InvariantBounds {
  readonly memoryMilliseconds: number;
  readonly keyWithdrawalMilliseconds: number;
  readonly leavingMilliseconds: number;
  readonly configurationMilliseconds: number;
}

/** The bounds that the product states. */
export const defaultInvariantBounds: InvariantBounds = {
  memoryMilliseconds: 30_000,
  keyWithdrawalMilliseconds: 7_000,
  leavingMilliseconds: 3_000,
  configurationMilliseconds: 7_000,
};

/** All violations of a run, by time. */
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
    ...findOnceViolations(ordered),
    ...findLeavingViolations(ordered, bounds),
    ...findShutdownViolations(ordered),
    ...findConfigurationViolations(ordered, bounds),
  ];
  return violations.sort((left, right) => left.at - right.at);
}
