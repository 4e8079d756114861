import test from 'ava';
import fc from 'fast-check';
import {FairQueue, accountId, minimumDeferrableShare} from '../src/index.js';
import type {QueueItem, ServiceClass} from '../src/index.js';

const limits = {perAccount: 1_000, total: 10_000};

/** Cost after which both accounts of a test have used their credit. */
const creditWarmUpTokens = 25_000;

const item = (
  account: string,
  costTokens = 100,
  serviceClass: ServiceClass = 'targeted',
  weight = 1,
): QueueItem => ({
  account: accountId(account),
  serviceClass,
  costTokens,
  weight,
});

function dequeueCost(queue: FairQueue<QueueItem>, tokens: number) {
  const cost = new Map<string, number>();
  for (let dequeued = 0; dequeued < tokens;) {
    const next = queue.dequeue();
    if (next === undefined) break;
    dequeued += next.costTokens;
    const key = `${next.account}/${next.serviceClass}`;
    cost.set(key, (cost.get(key) ?? 0) + next.costTokens);
  }
  return cost;
}

test('accounts share the dispatched cost by weight', t => {
  const queue = new FairQueue<QueueItem>(limits);
  for (let index = 0; index < 900; index += 1) {
    queue.enqueue(item('batinah', 1_000, 'targeted', 3));
    queue.enqueue(item('sohar', 200));
  }
  dequeueCost(queue, creditWarmUpTokens);
  const cost = dequeueCost(queue, 40_000);
  t.true(Math.abs(cost.get('batinah/targeted')! / 30_000 - 1) < 0.1);
});

test('shares match the weights for any weights and costs', t => {
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
            queue.enqueue(item(name, cost, 'targeted', weight));
        };
        fill('left', left);
        fill('right', right);
        dequeueCost(queue, creditWarmUpTokens);
        const cost = dequeueCost(queue, 25_000);
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

test('targeted work precedes deferrable work', t => {
  const queue = new FairQueue<QueueItem>(limits);
  queue.enqueue(item('batinah', 100, 'deferrable'));
  queue.enqueue(item('sohar'));
  t.is(queue.dequeue()?.serviceClass, 'targeted');
});

test('deferrable work gets its minimum share', t => {
  const queue = new FairQueue<QueueItem>(limits);
  for (let index = 0; index < 500; index += 1) {
    queue.enqueue(item('batinah', 100, 'deferrable'));
    queue.enqueue(item('batinah', 100, 'targeted'));
  }
  const cost = dequeueCost(queue, 20_000);
  const share = cost.get('batinah/deferrable')! / 20_000;
  t.true(Math.abs(share - minimumDeferrableShare) < 0.01);
});

test('excess targeted work of one account does not starve deferrable work of another', t => {
  const queue = new FairQueue<QueueItem>(limits);
  for (let index = 0; index < 400; index += 1) {
    queue.enqueue(item('batinah', 1_000, 'targeted'));
    queue.enqueue(item('sohar', 1_000, 'deferrable'));
  }
  const cost = dequeueCost(queue, 400_000);
  t.true(cost.get('sohar/deferrable')! >= 170_000);
});

test('an idle account accumulates a bounded credit', t => {
  const queue = new FairQueue<QueueItem>(limits);
  for (let index = 0; index < 900; index += 1) queue.enqueue(item('batinah'));
  dequeueCost(queue, 30_000);
  for (let index = 0; index < 900; index += 1) queue.enqueue(item('sohar'));
  t.is(dequeueCost(queue, 2_000).get('sohar/targeted'), 2_000);
  const cost = dequeueCost(queue, 40_000);
  const lead = cost.get('sohar/targeted')! - cost.get('batinah/targeted')!;
  t.true(lead <= 10_000);
});

test('the queue enforces both limits', t => {
  const queue = new FairQueue<QueueItem>({perAccount: 2, total: 3});
  t.true(queue.enqueue(item('batinah')));
  t.true(queue.enqueue(item('batinah')));
  t.false(queue.enqueue(item('batinah')));
  t.true(queue.enqueue(item('sohar')));
  t.false(queue.enqueue(item('sohar')));
  t.is(queue.length, 3);
});

test('removing an item keeps the other items', t => {
  const queue = new FairQueue<QueueItem>(limits);
  const first = item('batinah');
  queue.enqueue(first);
  queue.enqueue(item('sohar'));
  t.true(queue.remove(first));
  t.false(queue.remove(first));
  t.is(queue.dequeue()?.account, accountId('sohar'));
  t.is(queue.dequeue(), undefined);
});
