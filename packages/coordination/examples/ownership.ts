/**
 * Cancels attempts that still run on an engine but are no longer owned: those of
 * an earlier incarnation of their host and those that the host has abandoned.
 */

import {Result} from 'true-myth';
import {
  InMemoryNetwork,
  OwnedAttempts,
  OwnershipHandler,
  Sweeper,
  VirtualClock,
  attemptId,
  buildConfiguration,
  emptyConfiguration,
  failureDomainId,
  hostId,
  incarnation,
  requestId,
  seededRandom,
  upstreamId,
} from '../src/index.js';
import type {RunningAttempt, SweptEngine} from '../src/index.js';

const configuration = buildConfiguration(1n, [
  {
    kind: 'Upstream',
    name: 'engine',
    spec: {address: '10.1.0.1:8000', failureDomain: 'north'},
  },
  {
    kind: 'Pool',
    name: 'decode',
    spec: {role: 'decode', model: 'review', upstreams: {}},
  },
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
]).unwrapOr(emptyConfiguration);

/** Runs one sweep and returns the attempts that remain on the engine. */
export async function runOwnershipExample(): Promise<string[]> {
  const clock = new VirtualClock();
  const network = new InMemoryNetwork(clock);
  const firstHost = {host: hostId('one'), incarnation: incarnation('one-2')};
  const secondHost = {host: hostId('two'), incarnation: incarnation('two-1')};
  const owned = new OwnedAttempts();
  owned.register(attemptId('wanted'));
  const transport = network.transportOf(firstHost);
  const handler = new OwnershipHandler(firstHost, owned, transport);
  network.attach(firstHost.host, async body =>
    body.$case === 'ownership'
      ? {$case: 'ownership', value: await handler.handle(body.value)}
      : {$case: 'refusal', value: {code: 0}},
  );
  const runningAttempts = new Map<string, RunningAttempt>();
  const addRunningAttempt = (name: string, ownerIncarnation: string) =>
    runningAttempts.set(name, {
      request: requestId(name),
      attempt: attemptId(name),
      owner: {host: firstHost.host, incarnation: incarnation(ownerIncarnation)},
      state: 'decoding',
      ageMilliseconds: 10_000,
    });
  addRunningAttempt('wanted', 'one-2');
  addRunningAttempt('abandoned', 'one-2');
  addRunningAttempt('of-old-process', 'one-1');
  const engine: SweptEngine = {
    id: upstreamId('engine'),
    running: async () => Result.ok([...runningAttempts.values()]),
    async cancel({attempt}) {
      runningAttempts.delete(attempt);
      return Result.ok(undefined);
    },
  };
  const sweeper = new Sweeper({
    clock,
    random: seededRandom(1),
    self: secondHost,
    failureDomain: failureDomainId('north'),
    configuration: () => configuration,
    engines: {engineOf: () => engine},
    transport: network.transportOf(secondHost),
    ownedAttempts: new OwnedAttempts(),
    isLikelyLive: () => false,
  });
  await clock.runUntil(sweeper.sweep());
  return [...runningAttempts.keys()];
}
