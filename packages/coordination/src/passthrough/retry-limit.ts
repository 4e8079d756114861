/** Decides whether a call may be attempted once more. */

import type {RetryLimit} from './call-events.js';
import type {RoutedCall} from './call.js';

/** Maximum attempts for one call, including refused ones. */
const maximumAttempts = 4;

/** Attempts of one call so far. */
export interface AttemptCounts {
  readonly attempts: number;
  /** Attempts that may have run the call. */
  readonly possibleRuns: number;
}

/** Returns what forbids another attempt, if anything does. */
export function retryLimitOf(
  {route, deadline}: RoutedCall,
  {attempts, possibleRuns}: AttemptCounts,
  now: number,
): Exclude<RetryLimit, 'budget' | 'prompt'> | undefined {
  const {repeatable, maximumTries} = route.target;
  if (now >= deadline) return 'deadline';
  if (possibleRuns >= (repeatable ? maximumTries : 1)) return 'route';
  if (attempts >= maximumAttempts) return 'attempts';
  return undefined;
}
