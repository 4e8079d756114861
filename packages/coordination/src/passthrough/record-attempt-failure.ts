/** Maps a failed attempt to the health of its upstream. */

import type {PassthroughError} from './call.js';
import type {TrackedUpstream} from './upstream-table.js';

/** Records in the upstream's health why an attempt got no response. */
export function recordAttemptFailure(
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
    case 'withheld':
    case 'unverified':
    case 'cancelled':
  }
}
