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
export const invariantConditions = [
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

/** The name of an invariant. */
export type InvariantCondition = (typeof invariantConditions)[number];

/** A violation of an invariant. */
export interface InvariantViolation {
  readonly condition: InvariantCondition;
  readonly at: number;
  readonly detail: string;
}

/** The time limits of the invariants. */
export interface InvariantBounds {
  /** From the end of a request until its engine memory is freed. */
  readonly memoryMilliseconds: number;
  /** From the withdrawal of a key until requests with it are refused. */
  readonly keyWithdrawalMilliseconds: number;
  /** From the publication that an upstream leaves until it gets no new work. */
  readonly leavingMilliseconds: number;
  /** From the publication of a version until it is active on all hosts. */
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
): InvariantViolation[] {
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
