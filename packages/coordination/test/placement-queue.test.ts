import test from 'ava';
import fc from 'fast-check';
import {FairQueue, accountId, minimumDeferrableShare} from '../src/index.js';
import type {QueueItem, ServiceClass} from '../src/index.js';

const bounds = {perAccount: 1_000, total: 10_000};

/** Cost after which both accounts of a test have used their credits up. */
const creditsSpent = 25_000;

const item = (
  account: string,
  costTokens = 100,
  service: ServiceClass = 'targeted',
  weight = 1,
): QueueItem => ({account: accountId(account), service, costTokens, weight});

function takeCost(queue: FairQueue<QueueItem>, tokens: number) {
  const cost = new Map<string, number>();
  for (let taken = 0; taken < tokens;) {
    const next = queue.take();
    if (next === undefined) break;
    taken += next.costTokens;
    const key = `${next.account}/${next.service}`;
    cost.set(key, (cost.get(key) ?? 0) + next.costTokens);
  }
  return cost;
}

test('accounts share by weight in cost', t => {
  const queue = new FairQueue<QueueItem>(bounds);
  for (let index = 0; index < 900; index += 1) {
    queue.push(item('batinah', 1_000, 'targeted', 3));
    queue.push(item('sohar', 200));
  }
  takeCost(queue, creditsSpent);
  const cost = takeCost(queue, 40_000);
  t.true(Math.abs(cost.get('batinah/targeted')! / 30_000 - 1) < 0.1);
});

test('shares hold for any weights and costs', t => {
  const account = fc.record({
    weight: fc.integer({min: 1, max: 10}),
    cost: fc.integer({min: 25, max: 1_000}),
  });
  const check = () =>
    fc.assert(
      fc.property(account, account, (left, right) => {
        const queue = new FairQueue<QueueItem>({perAccount: 1e6, total: 1e6});
        const fill = (name: string, {weight, cost}: typeof left) => {
          for (let sum = 0; sum < 100_000; sum += cost)
            queue.push(item(name, cost, 'targeted', weight));
        };
        fill('left', left);
        fill('right', right);
        takeCost(queue, creditsSpent);
        const cost = takeCost(queue, 25_000);
        const served = (name: string, {weight}: typeof left) =>
          (cost.get(`${name}/targeted`) ?? 0) / weight;
        const difference = Math.abs(
          served('left', left) - served('right', right),
        );
        return difference <= 2_100;
      }),
      {seed: 7},
    );
  t.notThrows(check);
});

test('targeted work goes first', t => {
  const queue = new FairQueue<QueueItem>(bounds);
  queue.push(item('batinah', 100, 'deferrable'));
  queue.push(item('sohar'));
  t.is(queue.take()?.service, 'targeted');
});

test('deferrable work keeps its least share', t => {
  const queue = new FairQueue<QueueItem>(bounds);
  for (let index = 0; index < 500; index += 1) {
    queue.push(item('batinah', 100, 'deferrable'));
    queue.push(item('batinah', 100, 'targeted'));
  }
  const cost = takeCost(queue, 20_000);
  const share = cost.get('batinah/deferrable')! / 20_000;
  t.true(Math.abs(share - minimumDeferrableShare) < 0.01);
});

test('targeted excess of one account leaves the deferrable work of others', t => {
  const queue = new FairQueue<QueueItem>(bounds);
  for (let index = 0; index < 400; index += 1) {
    queue.push(item('batinah', 1_000, 'targeted'));
    queue.push(item('sohar', 1_000, 'deferrable'));
  }
  const cost = takeCost(queue, 400_000);
  t.true(cost.get('sohar/deferrable')! >= 170_000);
});

test('an idle account gains a bounded claim', t => {
  const queue = new FairQueue<QueueItem>(bounds);
  for (let index = 0; index < 900; index += 1) queue.push(item('batinah'));
  takeCost(queue, 30_000);
  for (let index = 0; index < 900; index += 1) queue.push(item('sohar'));
  t.is(takeCost(queue, 2_000).get('sohar/targeted'), 2_000);
  const cost = takeCost(queue, 40_000);
  const lead = cost.get('sohar/targeted')! - cost.get('batinah/targeted')!;
  t.true(lead <= 10_000);
});

test('both bounds hold', t => {
  const queue = new FairQueue<QueueItem>({perAccount: 2, total: 3});
  t.true(queue.push(item('batinah')));
  t.true(queue.push(item('batinah')));
  t.false(queue.push(item('batinah')));
  t.true(queue.push(item('sohar')));
  t.false(queue.push(item('sohar')));
  t.is(queue.length, 3);
});

test('removed items are gone and leave the rest', t => {
  const queue = new FairQueue<QueueItem>(bounds);
  const first = item('batinah');
  queue.push(first);
  queue.push(item('sohar'));
  t.true(queue.remove(first));
  t.false(queue.remove(first));
  t.is(queue.take()?.account, accountId('sohar'));
  t.is(queue.take(), undefined);
});
