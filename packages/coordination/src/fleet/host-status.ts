/** The status of hosts in the fleet view. */

import {HostReport_Status as Status} from '../generated/messages/persimmonwick/fleet.js';
import type {HostId, Incarnation} from '../ids.js';

/** The state of one host in the fleet view. */
export interface HostView {
  readonly host: HostId;
  readonly incarnation: Incarnation | undefined;
  readonly status: 'live' | 'leaving' | 'suspect' | 'dead' | 'unknown';
}

/** Converts a reported status to its name. */
export function hostStatusOf(status: Status | undefined): HostView['status'] {
  switch (status) {
    case Status.STATUS_LIVE:
      return 'live';
    case Status.STATUS_LEAVING:
      return 'leaving';
    case Status.STATUS_SUSPECT:
      return 'suspect';
    case Status.STATUS_DEAD:
      return 'dead';
    case Status.UNRECOGNIZED:
    case undefined:
      return 'unknown';
  }
}
