/** Connectivity and delays between the failure domains of a trace. */

import type {HostId} from '../ids.js';
import {immediateDelivery} from '../simulation/in-memory-network.js';
import type {Delivery} from '../simulation/in-memory-network.js';
import type {RandomSource} from '../random.js';

/** Random duplication, loss and delay of messages between hosts. */
export interface MessageDisturbance {
  readonly doubledShare: number;
  readonly droppedShare: number;
  /** Maximum of the random delay that is added to each message. */
  readonly maximumDelayMilliseconds: number;
}

// One-way delays of messages.
const withinDomainMilliseconds = 0.2;
const betweenDomainsMilliseconds = 1.5;

export class TraceTopology {
  disturbance: MessageDisturbance | undefined;
  private readonly partitioned = new Set<string>();

  constructor(
    private readonly domainOf: (host: HostId) => string,
    private readonly random: RandomSource,
  ) {}

  partition(failureDomain: string): void {
    this.partitioned.add(failureDomain);
  }

  endPartition(failureDomain: string): void {
    this.partitioned.delete(failureDomain);
  }

  /** Whether hosts of the failure domain can reach the platform. */
  canReachPlatform(failureDomain: string): boolean {
    return !this.partitioned.has(failureDomain);
  }

  /** Whether two failure domains can reach each other. */
  canReach(from: string, to: string): boolean {
    if (from === to) return true;
    return !this.partitioned.has(from) && !this.partitioned.has(to);
  }

  /** One-way delay between two failure domains, in milliseconds. */
  delayBetween(from: string, to: string): number {
    return from === to ? withinDomainMilliseconds : betweenDomainsMilliseconds;
  }

  /** Returns how a message between two hosts is delivered. */
  deliveryBetween(from: HostId, to: HostId): Delivery {
    const domains = [this.domainOf(from), this.domainOf(to)] as const;
    const delayMilliseconds = this.delayBetween(...domains);
    const delivery = {...immediateDelivery, delayMilliseconds};
    if (!this.canReach(...domains)) return {...delivery, isDropped: true};
    return this.applyDisturbance(delivery);
  }

  private applyDisturbance(delivery: Delivery): Delivery {
    if (this.disturbance === undefined) return delivery;
    const {maximumDelayMilliseconds, doubledShare, droppedShare} =
      this.disturbance;
    const randomDelay = () => this.random.next() * maximumDelayMilliseconds;
    return {
      delayMilliseconds: delivery.delayMilliseconds + randomDelay(),
      isDropped: this.random.next() < droppedShare,
      // A duplicate is delayed up to ten times as long, so it can arrive after
      // later messages.
      copyDelaysMilliseconds:
        this.random.next() < doubledShare
          ? [delivery.delayMilliseconds + 10 * randomDelay()]
          : [],
    };
  }
}
