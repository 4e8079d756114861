/** Refusals of calls that may not be sent, whichever upstream would be chosen. */

import type {RequestFailure} from '../requests/failure.js';
import {queueFull, upstreamFailed, upstreamTimeout} from './call-failures.js';
import type {PassthroughParts} from './passthrough-parts.js';
import type {AttemptedCall, UpstreamLosses} from './upstream-losses.js';

/**
 * Returns the failure of a call that the send gate or a quarantine refuses, or whose
 * deadline has passed while it waited. Its status promises that the call has not run,
 * unless an upstream may have run it.
 */
export function sendRefusalOf(
  {clock, sendGate}: Pick<PassthroughParts, 'clock' | 'sendGate'>,
  upstreamLosses: UpstreamLosses,
  attempted: Pick<AttemptedCall, 'call' | 'possibleRuns'>,
): RequestFailure | undefined {
  if (clock.now() >= attempted.call.deadline)
    return attempted.possibleRuns > 0 ? upstreamTimeout : queueFull;
  const failure = sendGate.failureOf(attempted.call);
  if (failure === undefined) return upstreamLosses.refusalOf(attempted);
  return attempted.possibleRuns > 0 ? upstreamFailed : failure;
}
