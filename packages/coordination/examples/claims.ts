/** Executes a request at most once on three hosts in one process. */

import {
  Claims,
  hostId,
  incarnation,
  InMemoryNetwork,
  seededRandom,
  VirtualClock,
} from '../src/index.js';
import type {ClaimKey, MembershipSpec} from '../src/index.js';

const membership: MembershipSpec = {
  members: [
    {host: 'a', failureDomain: 'north', address: '127.0.0.1:7001'},
    {host: 'b', failureDomain: 'south', address: '127.0.0.1:7002'},
    {host: 'c', failureDomain: 'west', address: '127.0.0.1:7003'},
  ],
  claimRetentionMilliseconds: 60_000,
};

const key: ClaimKey = {
  account: 'batinah',
  route: 'kit-releases',
  idempotencyKey: 'release-17',
  fingerprint: 'digest of the request',
};

/** Sends one request through two hosts and returns the result of each. */
export async function runClaimsExample(): Promise<string[]> {
  const clock = new VirtualClock();
  const network = new InMemoryNetwork(clock);
  const claims = membership.members.map(member => {
    const self = {
      host: hostId(member.host),
      incarnation: incarnation('1'),
    };
    const hostClaims = new Claims({
      clock,
      random: seededRandom(1),
      self,
      transport: network.transportOf(self),
      membership: () => membership,
    });
    network.attach(self.host, async (body, from) => {
      if (body.$case !== 'claim') throw new TypeError(body.$case);
      return {$case: 'claim', value: await hostClaims.handle(body.value, from)};
    });
    void hostClaims.recover();
    return hostClaims;
  });
  // After their first start, witnesses abstain for the claim retention time,
  // because earlier claims are unknown.
  await clock.advance(60_000);
  const lines: string[] = [];
  for (const hostClaims of claims.slice(0, 2)) {
    const deadline = clock.now() + 1000;
    const {signal} = new AbortController();
    const result = await clock.runUntil(
      hostClaims.begin(key, deadline, signal),
    );
    if (result.isErr) {
      lines.push(`refused: ${result.error.kind}`);
      continue;
    }
    const decision = result.value;
    if (decision.kind === 'replay') {
      lines.push(`replay: status ${decision.outcome.status}`);
      continue;
    }
    if (decision.permit.markSending().isErr) continue;
    lines.push('run');
    await clock.runUntil(
      decision.permit.record({
        status: 201,
        contentType: 'text/plain',
        body: new TextEncoder().encode('released'),
        bodyOmitted: false,
      }),
    );
  }
  await clock.runUntil(
    Promise.all(claims.map(hostClaims => hostClaims.close())),
  );
  return lines;
}
