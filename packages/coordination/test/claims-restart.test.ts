import test from 'ava';
import type {ClaimKey} from '../src/index.js';
import {
  chooseWitnesses,
  immediateDelivery,
  buildMembershipView,
} from '../src/index.js';
import {
  ClaimFleet,
  claimKey,
  resultKind,
  createMembers,
} from './tools/claim-fleet.js';

const membership = {members: createMembers(5, 5)};
const names = ['h0', 'h1', 'h2', 'h3', 'h4'];

/** Returns a key whose witnesses are `h0`, `h1` and `h2`. */
function findKey(): ClaimKey {
  const view = buildMembershipView(membership);
  for (let index = 0; ; index += 1) {
    const key = claimKey(`k${index}`);
    const [set] = chooseWitnesses(view, key);
    if (set!.every(host => host < 'h3')) return key;
  }
}

/**
 * Two calls with the same key. The first, through `h4`, gets a grant from `h0`,
 * which then restarts, and a delayed grant from `h1`. The second, through `h3`,
 * reaches only `h0` and `h2`. If `h0` granted the key again without waiting, both
 * calls could get a majority.
 */
async function raceCalls(
  grantDelayMilliseconds: number,
  secondAtMilliseconds: number,
) {
  const fleet = new ClaimFleet(1);
  const key = findKey();
  await fleet.startAll(names, membership);
  fleet.network.policy = (from, to) => ({
    ...immediateDelivery,
    delayMilliseconds:
      from === 'h4' && to === 'h1' ? grantDelayMilliseconds : 1,
    isDropped: (from === 'h4' && to === 'h2') || (from === 'h3' && to === 'h1'),
  });
  const first = fleet.begin('h4', key);
  await fleet.clock.advance(100);
  fleet.start('h0');
  await fleet.clock.advance(secondAtMilliseconds - 100);
  const second = fleet.begin('h3', key);
  const results = await fleet.clock.runUntil(Promise.all([first, second]));
  return results.map(resultKind);
}

test('a restarted witness abstains while its old grants can be counted', async t => {
  t.deepEqual(await raceCalls(800, 200), ['run', 'not-run']);
});

test('a grant received after the claim window is ignored', async t => {
  t.deepEqual(await raceCalls(2500, 1500), ['not-run', 'run']);
});
