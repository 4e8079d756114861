import test from 'ava';
import fc from 'fast-check';
import {FleetContact, VirtualClock} from '../src/index.js';
import type {FleetShare} from '../src/index.js';
import {RetryAllowance} from '../src/decisions/retry-allowance.js';

const bounds = {ratio: 0.2, extra: 30, windowMilliseconds: 10_000};
const startMilliseconds = 11_000;

/** A host whose processes each begin with an empty allowance. */
class Host {
  allowance = new RetryAllowance(bounds.windowMilliseconds);
  startedAt = -startMilliseconds;

  restart(now: number): void {
    this.allowance = new RetryAllowance(bounds.windowMilliseconds);
    this.startedAt = now;
  }

  shareOf(hosts: number, now: number): FleetShare {
    const hasStarted = now - this.startedAt >= startMilliseconds;
    return {kind: hasStarted ? 'counted' : 'starting', hosts};
  }
}

const steps = fc.array(
  fc.record({
    host: fc.nat(4),
    kind: fc.constantFrom('call', 'call', 'burst', 'retry', 'retry', 'restart'),
    pause: fc.constantFrom(0, 0, 1, 40, 300, 2500, 9000),
  }),
  {minLength: 1, maxLength: 300},
);

// Guards against hosts that start and spend what an earlier process has spent.
test('no order of calls, retries and restarts exceeds the budget in any window', t => {
  fc.assert(
    fc.property(fc.integer({min: 1, max: 5}), steps, (hostCount, sequence) => {
      const hosts = Array.from({length: hostCount}, () => new Host());
      const calls: number[] = [];
      const retries: number[] = [];
      let now = 0;
      for (const {host: index, kind, pause} of sequence) {
        now += pause;
        const host = hosts[index % hostCount]!;
        const share = host.shareOf(hostCount, now);
        const call = () => {
          calls.push(now);
          host.allowance.recordCall(bounds, share, now);
        };
        const retry = () => {
          const taken = host.allowance.take(1, bounds, share, now);
          if (taken === undefined) return;
          host.allowance.spend(taken, now);
          retries.push(now);
        };
        if (kind === 'call') call();
        if (kind === 'burst') for (let each = 0; each < 30; each += 1) call();
        if (kind === 'retry') for (let each = 0; each < 40; each += 1) retry();
        if (kind === 'restart') host.restart(now);
      }
      for (const from of retries) {
        const isInWindow = (time: number) =>
          time >= from && time < from + bounds.windowMilliseconds;
        const allowed =
          bounds.ratio * calls.filter(isInWindow).length + bounds.extra;
        if (retries.filter(isInWindow).length > allowed) return false;
      }
      return true;
    }),
    {numRuns: 300, seed: 1},
  );
  t.pass();
});

const seeds = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];

function createContact(
  clock: VirtualClock,
  address: string,
  heard: readonly string[],
  named: readonly string[] = seeds,
): FleetContact {
  return new FleetContact({
    clock,
    address: () => address,
    seeds: () => named,
    heardAt: peer => (heard.includes(peer) ? clock.now() - 100 : undefined),
    hostCount: () => heard.length + 1,
    isAloneWithoutSeeds: false,
    windowMilliseconds: bounds.windowMilliseconds,
  });
}

test('of two groups of hosts that are cut off only one is in contact with most seeds', async t => {
  const clock = new VirtualClock();
  const larger = createContact(clock, seeds[0]!, [seeds[1]!, '10.0.0.4:1']);
  const smaller = createContact(clock, seeds[2]!, ['10.0.0.5:1']);
  await clock.advance(60_000);
  t.deepEqual(larger.share(), {kind: 'counted', hosts: 3});
  t.is(smaller.share().kind, 'detached');
});

test('a host takes no part before others can have heard of it', async t => {
  const clock = new VirtualClock();
  const contact = createContact(clock, '10.0.0.4:1', seeds);
  t.is(contact.share().kind, 'starting');
  await clock.advance(bounds.windowMilliseconds);
  t.is(contact.share().kind, 'starting');
  await clock.advance(2000);
  t.is(contact.share().kind, 'counted');
});

test('contact that a peer reports counts for its age and ends', async t => {
  const clock = new VirtualClock();
  const contact = createContact(clock, '10.0.0.4:1', [], []);
  await clock.advance(20_000);
  t.is(contact.share().kind, 'detached', 'no seed is named, and nobody heard');
  contact.recordPeer(1000);
  t.is(contact.ageMilliseconds, 1000);
  t.is(contact.share().kind, 'counted');
  contact.recordPeer(undefined);
  contact.recordPeer(9000);
  await clock.advance(3000);
  t.is(contact.share().kind, 'detached');
});
