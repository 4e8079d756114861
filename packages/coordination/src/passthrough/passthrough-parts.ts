/** Dependencies of the components that handle passed-through calls. */

import type {Clock} from '../clock.js';
import type {UpstreamSpeeds} from '../decisions/upstream-speeds.js';
import type {PoolDocument} from '../generated/documents.js';
import type {FailureDomainId, HostId} from '../ids.js';
import type {RandomSource} from '../random.js';
import type {CallObserver} from './call-events.js';
import type {PassthroughTransport, RoutedCall} from './call.js';
import type {HandoverTransport} from './call-handover.js';
import type {DomainRouter} from './domain-router.js';
import type {EngineReleases} from './engine-releases.js';
import type {FleetMember} from './fleet-member.js';
import type {PoolRetryBudget} from './pool-retry-budget.js';
import type {RequestQuarantine} from './request-quarantine.js';
import type {PassthroughRoute, WeightedPool} from './route-table.js';
import type {SendGate} from './send-gate.js';
import type {SoftwareVersionHistory} from './software-version-history.js';
import type {StreamOrigins} from './stream-origins.js';
import type {UpstreamRequestLimits} from './upstream-request-limits.js';
import type {UpstreamTable} from './upstream-table.js';

export interface PassthroughParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly failureDomain: FailureDomainId;
  readonly transport: PassthroughTransport;
  readonly upstreams: UpstreamTable;
  readonly releases: EngineReleases;
  readonly sendGate: SendGate;
  readonly requestLimits: UpstreamRequestLimits;
  readonly retryBudget: PoolRetryBudget;
  readonly quarantine: RequestQuarantine;
  readonly streamOrigins: StreamOrigins;
  /** This host; undefined if there are no others. */
  readonly self?: HostId;
  /**
   * Whether calls of pools that routes of several urgencies share are placed by a
   * forecast of memory; false if absent.
   */
  readonly usesMemoryForecast?: boolean;
  /** The other hosts. */
  readonly members: () => readonly FleetMember[];
  readonly handoverTransport: HandoverTransport;
  readonly versionHistory: SoftwareVersionHistory;
  readonly observer: CallObserver;
  /** Speeds that hosts share; absent where the settings don't ask for it. */
  readonly speeds?: UpstreamSpeeds | undefined;
  /** Chooses failure domains; present where speeds are. */
  readonly domains?: DomainRouter | undefined;
  /**
   * Called when a reservation is requested and when a stream has ended, to
   * report the new load early.
   */
  readonly onLoadChanged?: () => void;
}

/**
 * Selects a pool of the route of `call` at random by weight; undefined if the
 * route has none. Pools of which no upstream may serve the call are left out, if
 * there are others.
 */
export function choosePoolByWeight(
  {upstreams, random}: Pick<PassthroughParts, 'upstreams' | 'random'>,
  call: RoutedCall,
): PoolDocument | undefined {
  const weighted = weightedPoolsOf(call.route);
  const allowed = weighted.filter(
    ({pool}) => upstreams.exclusionOf(pool, call) === undefined,
  );
  const pools = allowed.length > 0 ? allowed : weighted;
  const totalWeight = pools.reduce((sum, {weight}) => sum + weight, 0);
  let remainingWeight = random.next() * totalWeight;
  for (const {pool, weight} of pools) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return pool;
  }
  return pools.at(-1)?.pool;
}

/** The pools of a route that get calls: all, if none has a weight. */
export function weightedPoolsOf({
  pools,
}: PassthroughRoute): readonly WeightedPool[] {
  const weighted = pools.filter(({weight}) => weight > 0);
  return weighted.length > 0 ? weighted : pools;
}
