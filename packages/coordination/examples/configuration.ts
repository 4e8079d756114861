/**
 * Distributes a configuration to two hosts: one reads it from the platform, the
 * other receives it from the first. Withdrawing a key aborts the stream that was
 * opened with it.
 */

import {Result} from 'true-myth';
import {
  ConfigurationDistributor,
  ConfigurationHandler,
  ConfigurationStore,
  InMemoryNetwork,
  KeyWithdrawalMonitor,
  VirtualClock,
  accountId,
  failureDomainId,
  hostId,
  incarnation,
  seededRandom,
} from '../src/index.js';
import type {
  ConfigurationPage,
  HostId,
  KeyHash,
  PlatformError,
  PlatformSource,
  Route,
} from '../src/index.js';

const keyHash = 'a'.repeat(64);
const route: Route = {
  kind: 'Route',
  name: 'orders',
  spec: {target: {kind: 'service', pathPrefix: '/orders', services: {}}},
};
const firstPage: ConfigurationPage = {
  from: 0n,
  to: 1n,
  changes: [
    {
      kind: 'ClientAccount',
      name: 'sohar',
      spec: {rateTokensPerSecond: 100, burstTokens: 1000},
    },
    {kind: 'Key', name: 'k1', spec: {sha256: keyHash, account: 'sohar'}},
    route,
    {
      kind: 'Membership',
      name: 'fleet',
      spec: {
        members: ['one', 'two'].map((host, index) => ({
          host,
          failureDomain: 'north',
          address: `10.0.0.${index}:7000`,
        })),
      },
    },
  ].map(document => ({kind: 'publish', document})),
};
const secondPage: ConfigurationPage = {
  from: 1n,
  to: 2n,
  changes: [{kind: 'withdraw', key: 'Key/k1'}],
};

/** The versions in force on both hosts and the reason of the abort. */
export interface ConfigurationExampleResult {
  readonly versions: readonly bigint[];
  readonly reason: unknown;
}

export async function runConfigurationExample(): Promise<ConfigurationExampleResult> {
  const clock = new VirtualClock();
  const network = new InMemoryNetwork(clock);
  const published = [firstPage];
  const source: PlatformSource = {
    async watch(after, waitMilliseconds, signal) {
      const page = published.find(candidate => candidate.from === after);
      if (page === undefined) await clock.sleep(waitMilliseconds, signal);
      const emptyPage = {from: after, to: after, changes: []};
      return Result.ok<ConfigurationPage, PlatformError>(page ?? emptyPage);
    },
  };
  const start = (host: HostId) => {
    const store = new ConfigurationStore({clock});
    const handler = new ConfigurationHandler(store, clock);
    const identity = {host, incarnation: incarnation(`${host}-1`)};
    network.attach(host, async body =>
      body.$case === 'configuration'
        ? {$case: 'configuration', value: await handler.handle(body.value)}
        : {$case: 'refusal', value: {code: 0}},
    );
    const distributor = new ConfigurationDistributor({
      clock,
      random: seededRandom(1),
      self: host,
      failureDomain: failureDomainId('north'),
      store,
      platform: source,
      transport: network.transportOf(identity),
      seeds: [hostId('one'), hostId('two')],
      isLikelyLive: () => true,
    });
    void distributor.start();
    return {store, distributor};
  };
  const hosts = ['one', 'two'].map(name => start(hostId(name)));
  // Lets both hosts load the first version.
  await clock.advance(3000);
  const monitor = new KeyWithdrawalMonitor(hosts[1]!.store);
  const registration = monitor.register(
    keyHash as KeyHash,
    accountId('sohar'),
    route,
  );
  published.push(secondPage);
  // Lets both hosts load the second version.
  await clock.advance(30_000);
  const versions = hosts.map(host => host.store.current.version);
  const {reason} = registration.signal;
  registration.close();
  monitor.close();
  await Promise.all(hosts.map(host => host.distributor.close()));
  return {versions, reason};
}
