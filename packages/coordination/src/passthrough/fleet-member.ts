/** What a host knows of another one. */

import type {FailureDomainId, HostId} from '../ids.js';

export interface FleetMember {
  readonly host: HostId;
  readonly failureDomain: FailureDomainId;
  /** Address that receives datagrams. */
  readonly address: string;
  /** Whether a heartbeat has arrived lately. */
  readonly isLive: boolean;
  /** Time since its last heartbeat. */
  readonly reportAgeMilliseconds: number;
  /** Address at which it takes calls over; empty if it takes none. */
  readonly handoverAddress: string;
  /** Pools of which it can reach no upstream. */
  readonly unreachablePools: readonly string[];
}
