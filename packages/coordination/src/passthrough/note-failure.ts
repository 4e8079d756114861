/** What a failed sending says about the upstream. */

import type {PassthroughError} from './call.js';
import type {TrackedUpstream} from './upstream-table.js';

/** Notes on an upstream why it gave no answer to a call. */
export function noteFailure(
  {health}: TrackedUpstream,
  error: PassthroughError,
  now: number,
): void {
  switch (error.kind) {
    case 'unreachable':
      health.recordUnreachable(now);
      break;
    case 'misdirected':
      health.recordMisdirected(now);
      break;
    case 'refused':
    case 'broken':
    case 'silent':
      health.recordFailure(now);
      break;
    case 'cancelled':
  }
}
