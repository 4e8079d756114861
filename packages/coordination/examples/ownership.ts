/** A host was replaced: what its old process held at an engine is cancelled. */

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
      members: ['one', 'two'].map((host, at) => ({
        host,
        failureDomain: 'north',
        address: `10.0.0.${at}:7000`,
      })),
    },
  },
]).unwrapOr(emptyConfiguration);

/** Runs one sweep; gives the attempts that the engine still holds. */
export async function runOwnershipExample(): Promise<string[]> {
  const clock = new VirtualClock();
  const network = new InMemoryNetwork(clock);
  const one = {host: hostId('one'), incarnation: incarnation('one-2')};
  const two = {host: hostId('two'), incarnation: incarnation('two-1')};
  const owned = new OwnedAttempts();
  owned.register(attemptId('wanted'));
  const transport = network.transportOf(one);
  const handler = new OwnershipHandler(one, owned, transport);
  network.attach(one.host, async body =>
    body.$case === 'ownership'
      ? {$case: 'ownership', value: await handler.handle(body.value)}
      : {$case: 'refusal', value: {code: 0}},
  );
  const held = new Map<string, RunningAttempt>();
  const hold = (name: string, process: string) =>
    held.set(name, {
      request: requestId(name),
      attempt: attemptId(name),
      owner: {host: one.host, incarnation: incarnation(process)},
      state: 'decoding',
      ageMilliseconds: 10_000,
    });
  hold('wanted', 'one-2');
  hold('given-up', 'one-2');
  hold('of-the-old-process', 'one-1');
  const engine: SweptEngine = {
    id: upstreamId('engine'),
    running: async () => Result.ok([...held.values()]),
    async cancel({attempt}) {
      held.delete(attempt);
      return Result.ok(undefined);
    },
  };
  const sweeper = new Sweeper({
    clock,
    random: seededRandom(1),
    self: two,
    failureDomain: failureDomainId('north'),
    configuration: () => configuration,
    engines: {engineOf: () => engine},
    transport: network.transportOf(two),
    owned: new OwnedAttempts(),
    isLikelyLive: () => false,
  });
  await clock.runUntil(sweeper.sweep());
  return [...held.keys()];
}
