/** Who reaches whom in a trace, and in what time. */

import type {HostId} from '../ids.js';
import {immediateDelivery} from '../simulation/in-memory-network.js';
import type {Delivery} from '../simulation/in-memory-network.js';
import type {RandomSource} from '../random.js';

/** How messages between hosts are disturbed. */
export interface Disturbance {
  readonly doubledShare: number;
  readonly droppedShare: number;
  readonly delayMilliseconds: number;
}

const withinDomainMilliseconds = 0.2;
const betweenDomainsMilliseconds = 1.5;

export class TraceNetwork {
  disturbance: Disturbance | undefined;
  private readonly cutDomains = new Set<string>();

  constructor(
    private readonly domainOf: (host: HostId) => string,
    private readonly random: RandomSource,
  ) {}

  cut(failureDomain: string): void {
    this.cutDomains.add(failureDomain);
  }

  heal(failureDomain: string): void {
    this.cutDomains.delete(failureDomain);
  }

  /** True while the failure domain reaches the platform. */
  reachesPlatform(failureDomain: string): boolean {
    return !this.cutDomains.has(failureDomain);
  }

  /** True while two failure domains reach each other. */
  reaches(from: string, to: string): boolean {
    if (from === to) return true;
    return !this.cutDomains.has(from) && !this.cutDomains.has(to);
  }

  /** One way between two failure domains. */
  delayBetween(from: string, to: string): number {
    return from === to ? withinDomainMilliseconds : betweenDomainsMilliseconds;
  }

  /** What becomes of a message between hosts. */
  deliver(from: HostId, to: HostId): Delivery {
    const domains = [this.domainOf(from), this.domainOf(to)] as const;
    const delayMilliseconds = this.delayBetween(...domains);
    const delivery = {...immediateDelivery, delayMilliseconds};
    if (!this.reaches(...domains)) return {...delivery, isDropped: true};
    return this.disturb(delivery);
  }

  private disturb(delivery: Delivery): Delivery {
    if (this.disturbance === undefined) return delivery;
    const {delayMilliseconds, doubledShare, droppedShare} = this.disturbance;
    const extra = () => this.random.next() * delayMilliseconds;
    return {
      delayMilliseconds: delivery.delayMilliseconds + extra(),
      isDropped: this.random.next() < droppedShare,
      copyDelaysMilliseconds:
        this.random.next() < doubledShare
          ? [delivery.delayMilliseconds + 10 * extra()]
          : [],
    };
  }
}
