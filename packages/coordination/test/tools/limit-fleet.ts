/** Limiters of several hosts in one process, on virtual time. */

import {
  InMemoryNetwork,
  Limiter,
  VirtualClock,
  accountId,
  buildConfiguration,
  failureDomainId,
  hostId,
  incarnation,
} from '../../src/index.js';
import type {
  Configuration,
  HostId,
  Member,
  PeerTransport,
} from '../../src/index.js';
import {HostClock} from './host-clock.js';

export const account = accountId('batinah');

export interface FleetHost {
  readonly id: HostId;
  readonly domain: string;
  configuration: Configuration;
  incarnationCount: number;
  clock: HostClock;
  limiter: Limiter;
}

/** Creates members in `domains` failure domains, `hostsPerDomain` in each. */
export function createMembers(
  domains: number,
  hostsPerDomain: number,
): Member[] {
  return Array.from({length: domains * hostsPerDomain}, (_, index) => ({
    host: `host-${index}`,
    failureDomain: `domain-${Math.floor(index / hostsPerDomain)}`,
    address: `10.0.0.${index + 1}:7000`,
  }));
}

export function limitConfiguration(
  version: number,
  rate: number,
  burst: number,
  members: Member[],
  previousMembers?: Member[],
): Configuration {
  const limits = {rateTokensPerSecond: rate, burstTokens: burst};
  const lists = previousMembers ? {members, previousMembers} : {members};
  return buildConfiguration(BigInt(version), [
    {kind: 'ClientAccount', name: account, spec: limits},
    {kind: 'Membership', name: 'fleet', spec: lists},
  ]).unwrapOrElse(faults => {
    throw new RangeError(JSON.stringify(faults));
  });
}

export class LimitFleet {
  readonly clock = new VirtualClock();
  readonly network = new InMemoryNetwork(this.clock);
  readonly hosts: FleetHost[];

  constructor(
    members: Member[],
    configuration: Configuration,
    clockSpeedOf: (index: number) => number = () => 1,
    private readonly holdersPerDomain?: number,
  ) {
    this.hosts = members.map((member, index) => {
      const clock = new HostClock(this.clock, clockSpeedOf(index));
      const host = {
        id: hostId(member.host),
        domain: member.failureDomain,
        configuration,
        incarnationCount: 0,
        clock,
      } as FleetHost;
      this.start(host);
      return host;
    });
  }

  /** Restarts a host with empty memory, unless it is paused. */
  restart(host: FleetHost): void {
    if (host.clock.isPaused) return;
    void host.limiter.close();
    this.start(host);
  }

  async close(): Promise<void> {
    for (const host of this.hosts) host.clock.resume();
    const closed = Promise.all(this.hosts.map(host => host.limiter.close()));
    await this.clock.runUntil(closed);
  }

  private start(host: FleetHost): void {
    host.incarnationCount += 1;
    const identity = {
      host: host.id,
      incarnation: incarnation(String(host.incarnationCount)),
    };
    const {clock} = host;
    const transport = pausableTransport(
      this.network.transportOf(identity),
      clock,
    );
    const limiter = new Limiter({
      clock,
      transport,
      self: host.id,
      incarnation: identity.incarnation,
      failureDomain: failureDomainId(host.domain),
      configuration: () => host.configuration,
      holdersPerDomain: this.holdersPerDomain,
    });
    host.limiter = limiter;
    this.network.attach(host.id, async body => {
      await clock.waitUntilRunning();
      if (body.$case !== 'limit') throw new TypeError(body.$case);
      return {$case: 'limit', value: limiter.handle(body.value)};
    });
  }
}

function pausableTransport(
  transport: PeerTransport,
  clock: HostClock,
): PeerTransport {
  return {
    async exchange(host, body, timeoutMilliseconds) {
      const result = await transport.exchange(host, body, timeoutMilliseconds);
      await clock.waitUntilRunning();
      return result;
    },
  };
}
