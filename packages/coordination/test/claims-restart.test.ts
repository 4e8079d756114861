import test from 'ava';
import type {ClaimKey} from '../src/index.js';
import {
  chooseWitnesses,
  perfectDelivery,
  buildMembershipView,
} from '../src/index.js';
import {
  ClaimFleet,
  claimKey,
  describe,
  createMembers,
} from './tools/claim-fleet.js';

const membership = {members: createMembers(5, 5)};
const names = ['h0', 'h1', 'h2', 'h3', 'h4'];

/** A key that neither `h3` nor `h4` witnesses. */
function findKey(): ClaimKey {
  const view = buildMembershipView(membership);
  for (let index = 0; ; index += 1) {
    const key = claimKey(`k${index}`);
    const [set] = chooseWitnesses(view, key);
    if (set!.every(host => host < 'h3')) return key;
  }
}

/**
 * A try through `h4` is granted by `h0`, which then restarts, and late by `h1`.
 * A second try, through `h3`, reaches `h0` and `h2` only.
 */
async function race(lateMilliseconds: number, secondAtMilliseconds: number) {
  const fleet = new ClaimFleet(1);
  const key = findKey();
  await fleet.startAll(names, membership);
  fleet.network.policy = (from, to) => ({
    ...perfectDelivery,
    delayMilliseconds: from === 'h4' && to === 'h1' ? lateMilliseconds : 1,
    isDropped: (from === 'h4' && to === 'h2') || (from === 'h3' && to === 'h1'),
  });
  const first = fleet.begin('h4', key);
  await fleet.clock.advance(100);
  fleet.start('h0');
  await fleet.clock.advance(secondAtMilliseconds - 100);
  const second = fleet.begin('h3', key);
  const both = await fleet.clock.runUntil(Promise.all([first, second]));
  return both.map(describe);
}

test('a restarted witness waits for grants under way', async t => {
  t.deepEqual(await race(800, 200), ['run', 'not-run']);
});

test('a grant that comes after the window does not count', async t => {
  t.deepEqual(await race(2500, 1500), ['not-run', 'run']);
});
