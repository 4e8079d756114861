/**
 * Shares the rate and burst of one account between two hosts in virtual time. A
 * real host passes `systemClock` and its own transport instead.
 */

import {
  InMemoryNetwork,
  Limiter,
  VirtualClock,
  accountId,
  buildConfiguration,
  failureDomainId,
  hostId,
  incarnation,
} from '../src/index.js';
import type {Configuration} from '../src/index.js';

const account = accountId('press-office');

function publishedConfiguration(): Configuration {
  return buildConfiguration(1n, [
    {
      kind: 'ClientAccount',
      name: account,
      spec: {rateTokensPerSecond: 1_000, burstTokens: 5_000},
    },
    {
      kind: 'Membership',
      name: 'fleet',
      spec: {
        members: [
          {host: 'entry-1', failureDomain: 'north', address: '10.0.1.1:7000'},
          {host: 'entry-2', failureDomain: 'south', address: '10.0.2.1:7000'},
        ],
      },
    },
  ]).unwrapOrElse(faults => {
    throw new RangeError(JSON.stringify(faults));
  });
}

/** Runs the example and returns one line per request. */
export async function runLimiterExample(): Promise<string[]> {
  const clock = new VirtualClock();
  const network = new InMemoryNetwork(clock);
  const configuration = publishedConfiguration();
  const start = (name: string, failureDomain: string): Limiter => {
    const identity = {host: hostId(name), incarnation: incarnation('1')};
    const limiter = new Limiter({
      clock,
      transport: network.transportOf(identity),
      self: identity.host,
      incarnation: identity.incarnation,
      failureDomain: failureDomainId(failureDomain),
      configuration: () => configuration,
    });
    network.attach(identity.host, body => {
      if (body.$case !== 'limit') throw new TypeError(body.$case);
      return {$case: 'limit', value: limiter.handle(body.value)};
    });
    return limiter;
  };
  const north = start('entry-1', 'north');
  const south = start('entry-2', 'south');
  const lines: string[] = [];
  const admit = async (limiter: Limiter, charged: number, used: number) => {
    const result = await clock.runUntil(limiter.admit(account, charged));
    if (result.isErr) {
      const {reason, retryAfterMilliseconds} = result.error;
      lines.push(`${charged}: ${reason}, retry in ${retryAfterMilliseconds}`);
    } else {
      lines.push(`${charged}: admitted, ${used} used`);
      result.value.settle(used);
    }
  };

  await clock.advance(10_000);
  await admit(north, 4_000, 4_000);
  await admit(south, 4_000, 0);
  await admit(south, 1_000, 1_000);
  await admit(north, 6_000, 0);
  await clock.runUntil(Promise.all([north.close(), south.close()]));
  return lines;
}
