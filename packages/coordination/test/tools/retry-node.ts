/** A host of a retry fleet, and its present process. */

import {
  FleetContact,
  PoolRetryBudget,
  RetryLoans,
  failureDomainId,
} from '../../src/index.js';
import type {
  Clock,
  DiscoveredFleet,
  PassthroughHost,
  RandomSource,
  RetryLoanMessage,
} from '../../src/index.js';
import {ratio, windowMilliseconds} from './retry-fleet.js';
import type {RetryFleetOptions} from './retry-fleet.js';

/** The port tells the hosts apart. */
export const firstPort = 7000;

export class RetryNode {
  readonly name: string;
  readonly address: string;
  /** Undefined while the process is down. */
  host: PassthroughHost | undefined;
  fleet: DiscoveredFleet | undefined;
  contact: FleetContact | undefined;
  budget: PoolRetryBudget | undefined;
  loans: RetryLoans | undefined;
  /** Hosts of different groups do not reach each other. */
  group = 0;
  /** Whether the links to all engines are cut. */
  isStranded = false;
  private process = new AbortController();

  constructor(
    index: number,
    readonly domain: string,
    readonly random: RandomSource,
  ) {
    this.name = `host-${index}`;
    this.address = `10.0.0.${index % 250}:${firstPort + index}`;
  }

  /** Aborted when the present process ends. */
  get signal(): AbortSignal {
    return this.process.signal;
  }

  /** Begins a process, which knows nothing. */
  begin(): AbortController {
    this.process = new AbortController();
    return this.process;
  }

  stop(): void {
    this.process.abort();
    this.host?.close();
    void this.fleet?.close();
    this.host = undefined;
    this.fleet = undefined;
    this.loans = undefined;
  }

  createBudget(
    clock: Clock,
    fleet: DiscoveredFleet,
    seeds: readonly string[],
    send: (address: string, message: RetryLoanMessage) => void,
    {extra}: RetryFleetOptions,
  ): PoolRetryBudget {
    const contact = new FleetContact({
      clock,
      address: () => this.address,
      seeds: () => seeds,
      heardAt: address => fleet.heardAt(address),
      hostCount: () => fleet.assumedHostCount,
      isAloneWithoutSeeds: false,
      windowMilliseconds,
    });
    this.contact = contact;
    const loans: RetryLoans = new RetryLoans({
      clock,
      random: this.random,
      failureDomain: failureDomainId(this.domain),
      members: () => fleet.members(),
      isMember: address => fleet.heardAt(address) !== undefined,
      send,
      lend: (poolKey, amount) => budget.lend(poolKey, amount),
    });
    const budget: PoolRetryBudget = new PoolRetryBudget({
      clock,
      ratio,
      extra,
      windowMilliseconds,
      share: () => contact.share(),
      loans,
    });
    this.loans = loans;
    this.budget = budget;
    return budget;
  }
}
