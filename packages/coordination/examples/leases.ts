/** Passes the lease of an upstream from one host to another. */

import {
  hostId,
  incarnation,
  InMemoryNetwork,
  LeaseManager,
  LeaseWitness,
  VirtualClock,
  MembershipViewCache,
} from '../src/index.js';
import type {MembershipSpec} from '../src/index.js';

const membership: MembershipSpec = {
  members: [
    {host: 'a', failureDomain: 'north', address: '127.0.0.1:7001'},
    {host: 'b', failureDomain: 'south', address: '127.0.0.1:7002'},
    {host: 'c', failureDomain: 'west', address: '127.0.0.1:7003'},
  ],
};
const witnessAbstentionMilliseconds = 11_000;
const resource = 'decode-engine-1';

/** Runs the example and returns the result of each step. */
export async function runLeasesExample(): Promise<string[]> {
  const clock = new VirtualClock();
  const network = new InMemoryNetwork(clock);
  const managers = membership.members.map(member => {
    const self = {
      host: hostId(member.host),
      incarnation: incarnation('1'),
    };
    const membershipViews = new MembershipViewCache(() => membership);
    const transport = network.transportOf(self);
    const witness = new LeaseWitness({clock, self, membershipViews});
    network.attach(self.host, (body, from) => {
      if (body.$case !== 'lease') throw new TypeError(body.$case);
      return {$case: 'lease', value: witness.handle(body.value, from)};
    });
    return new LeaseManager({clock, self, transport, membershipViews, witness});
  });
  // Witnesses abstain for the duration of a lease after they start, because they
  // do not know the leases granted earlier.
  await clock.advance(witnessAbstentionMilliseconds);
  const [first, second] = managers;
  const held = await clock.runUntil(first!.acquire(resource));
  const refused = await clock.runUntil(second!.acquire(resource));
  if (held.isErr) return [held.error.kind];
  await clock.runUntil(first!.release(resource, held.value.fencingToken));
  const next = await clock.runUntil(second!.acquire(resource));
  const isHigher =
    next.isOk && next.value.fencingToken > held.value.fencingToken;
  return [
    'first host: held',
    `second host: ${refused.isErr ? refused.error.kind : 'held'}`,
    `after the release: ${isHigher ? 'held under a higher number' : 'none'}`,
  ];
}
