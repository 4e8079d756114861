import test from 'ava';
import {
  PoolRetryBudget,
  RetryLoans,
  VirtualClock,
  encodeSpares,
  failureDomainId,
  hostId,
  seededRandom,
} from '../src/index.js';
import type {FleetMember} from '../src/passthrough/fleet-member.js';

const bounds = {ratio: 0, extra: 30, windowMilliseconds: 10_000};
const hostCount = 10;

/** What happens to a datagram: how often it arrives, and when. */
type Delivery = readonly number[];

/** Hosts that each have 1.85 retries, and know what the others can spare. */
class LendingHosts {
  readonly clock = new VirtualClock();
  readonly budgets: PoolRetryBudget[] = [];
  readonly loans: RetryLoans[] = [];
  deliver: () => Delivery = () => [1];
  sent = 0;

  constructor() {
    const address = (index: number) => `10.0.0.${index}:1`;
    const members = Array.from(
      {length: hostCount},
      (_, index): FleetMember => ({
        host: hostId(`host-${index}`),
        failureDomain: failureDomainId(`zone-${index % 3}`),
        address: address(index),
        isLive: true,
        reportAgeMilliseconds: 0,
        handoverAddress: '',
        unreachablePools: [],
      }),
    );
    for (const [index, self] of members.entries()) {
      const loans = new RetryLoans({
        clock: this.clock,
        random: seededRandom(index),
        failureDomain: self.failureDomain,
        members: () => members.filter(each => each !== self),
        isMember: from => members.some(each => each.address === from),
        send: (to, message) => {
          this.sent += 1;
          const target = members.findIndex(each => each.address === to);
          for (const delay of this.deliver())
            void this.clock
              .sleep(delay)
              .then(() => this.loans[target]!.receive(self.address, message));
        },
        lend: (key, amount) => this.budgets[index]!.lend(key, amount),
      });
      this.loans.push(loans);
      this.budgets.push(
        new PoolRetryBudget({
          clock: this.clock,
          ...bounds,
          share: () => ({kind: 'counted', hosts: hostCount}),
          loans,
        }),
      );
    }
    for (const budget of this.budgets) budget.recordCall('pool');
    for (const [index, loans] of this.loans.entries())
      for (const [other, budget] of this.budgets.entries())
        if (other !== index)
          loans.recordPeer(address(other), encodeSpares(budget.spares()));
  }

  /** Lets the first host spend all that it can get; resolves with how much. */
  async spendAll(): Promise<number> {
    let spent = 0;
    for (;;) {
      const acquired = await this.clock.runUntil(
        this.budgets[0]!.acquire('pool', 1),
      );
      if (acquired === undefined) return spent;
      for (const retry of acquired) retry.use();
      spent += 1;
    }
  }

  get left(): number {
    return this.budgets.reduce(
      (sum, budget) => sum + budget.stateOf('pool').available,
      0,
    );
  }
}

/** Retries of all hosts: the part of the fixed number that is divided. */
const total = 0.95 * bounds.extra - hostCount;

test('a host whose calls fail gets what the others do not need', async t => {
  const hosts = new LendingHosts();
  const spent = await hosts.spendAll();
  t.log(`${spent} of ${total}`);
  t.true(spent >= 0.9 * Math.floor(total), `${spent} of ${total}`);
  t.true(spent + hosts.left <= total + 1e-9);
});

// Guards against a loan that is granted and kept as well.
for (const [title, deliver] of [
  ['lost', (index: number) => (index % 2 === 0 ? [] : [1])],
  ['repeated', () => [1, 2, 30]],
  ['late', () => [100]],
] as const)
  test(`datagrams that are ${title} make no retries`, async t => {
    const hosts = new LendingHosts();
    let index = 0;
    hosts.deliver = () => deliver((index += 1));
    const spent = await hosts.spendAll();
    await hosts.clock.advance(500);
    t.true(spent >= 1, 'its own');
    t.true(spent + hosts.left <= total + 1e-9, `${spent} and ${hosts.left}`);
  });

test('hosts that have nothing left are not asked again and again', async t => {
  const hosts = new LendingHosts();
  await hosts.spendAll();
  const {sent} = hosts;
  for (let call = 0; call < 100; call += 1) await hosts.spendAll();
  t.true(hosts.sent - sent <= 2, `${hosts.sent - sent} more datagrams`);
});

test('a stranger borrows nothing', async t => {
  const hosts = new LendingHosts();
  const content = {number: 1, poolKey: 1, hundredths: 100};
  const {left, sent} = hosts;
  hosts.loans[0]!.receive('10.0.9.9:1', {
    content: {$case: 'request', value: content},
  });
  await hosts.clock.advance(10);
  t.is(hosts.left, left);
  t.is(hosts.sent, sent);
});
