/** Hosts that send requests to one upstream and report them to each other. */

import {
  UpstreamRequestLimits,
  VirtualClock,
  hostId,
  seededRandom,
} from '../../src/index.js';
import type {HostId, UpstreamDocument} from '../../src/index.js';

export const upstream = {
  kind: 'Upstream',
  name: 's-1',
  spec: {address: 's-1:80', failureDomain: 'a', startedAt: 1},
} as UpstreamDocument;

interface LimitHost {
  readonly id: HostId;
  limits: UpstreamRequestLimits;
  incarnation: bigint;
  startedAt: number;
  partition: number;
  /** Time of the last heartbeat, and whether another one is due. */
  reportedAt: number;
  hasNews: boolean;
}

export interface LimitFleetOptions {
  readonly hosts: number;
  readonly seed: number;
  /** Fraction of heartbeats that are lost. */
  readonly lossFraction: number;
}

const stepMilliseconds = 10;
const transitMilliseconds = 20;

export class RequestLimitFleet {
  readonly clock = new VirtualClock();
  readonly hosts: LimitHost[];
  /** Times of all requests that reached the upstream. */
  readonly requestTimes: number[] = [];
  /** What the upstream says in its responses. */
  requestsPerSecond: number | undefined;
  private readonly random;

  constructor(private readonly options: LimitFleetOptions) {
    this.random = seededRandom(options.seed);
    const ids = Array.from({length: options.hosts}, (_, index) =>
      hostId(`host-${index}`),
    );
    this.hosts = ids.map(id => ({
      id,
      limits: undefined as unknown as UpstreamRequestLimits,
      incarnation: 0n,
      startedAt: 0,
      partition: 0,
      reportedAt: -Infinity,
      hasNews: false,
    }));
    for (const host of this.hosts) this.restart(host, ids);
  }

  /** Restarts the process of a host, which loses all state. */
  restart(host: LimitHost, ids = this.hosts.map(({id}) => id)): void {
    host.incarnation += 1n;
    host.startedAt = this.clock.now();
    host.limits = new UpstreamRequestLimits({
      clock: this.clock,
      self: host.id,
      hosts: () => ids,
      silentHostCount: () =>
        this.hosts.filter(other => other.partition !== host.partition).length,
      onChange: () => undefined,
      onLearned: () => (host.hasNews = true),
    });
  }

  /**
   * Runs for some time. In each step each host has a call with the probability
   * `pressure`, which takes `cost` requests.
   */
  async run(
    milliseconds: number,
    pressure: number,
    cost: number,
  ): Promise<void> {
    const end = this.clock.now() + milliseconds;
    while (this.clock.now() < end) {
      for (const host of this.hosts)
        if (this.random.next() < pressure) this.call(host, cost);
      await this.clock.advance(stepMilliseconds);
      this.report();
    }
  }

  /** The most requests in 4 s, counted from `from`. */
  worstWindow(from: number): number {
    const counted = this.requestTimes.filter(time => time >= from);
    let start = 0;
    let worst = 0;
    counted.forEach((time, index) => {
      while (counted[start]! <= time - 4000) start += 1;
      worst = Math.max(worst, index - start + 1);
    });
    return worst;
  }

  private call(host: LimitHost, cost: number): void {
    const {name} = upstream;
    if (!host.limits.canSend(name, cost)) return;
    host.limits.acquire(name, cost);
    for (let request = 0; request < cost; request += 1)
      this.requestTimes.push(this.clock.now());
    host.limits.recordStatement(upstream, this.requestsPerSecond);
  }

  /** Heartbeats as a fleet of this size sends them. */
  private report(): void {
    const now = this.clock.now();
    const interval = 200 + 12 * this.hosts.length;
    const spacing = 30 + 6 * this.hosts.length;
    for (const from of this.hosts) {
      const silence = now - from.reportedAt;
      if (silence < (from.hasNews ? spacing : interval)) continue;
      from.reportedAt = now;
      from.hasNews = false;
      this.broadcast(from);
    }
  }

  private broadcast(from: LimitHost): void {
    const {incarnation, startedAt, id} = from;
    const age = this.clock.now() - startedAt;
    const reports = from.limits.report();
    for (const to of this.hosts) {
      if (to === from || to.partition !== from.partition) continue;
      if (this.random.next() < this.options.lossFraction) continue;
      void this.clock
        .sleep(transitMilliseconds)
        .then(() => to.limits.recordPeer(id, incarnation, age, reports));
    }
  }
}
