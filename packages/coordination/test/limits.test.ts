import test from 'ava';
import {Result} from 'true-myth';
import {
  InvalidTokensError,
  TokenBucket,
  accountId,
  emptyConfiguration,
  holderShares,
  hostId,
  perfectDelivery,
} from '../src/index.js';
import type {BucketGrant} from '../src/index.js';
import {BorrowedTokens} from '../src/limits/borrowed-tokens.js';
import {PeakHistory} from '../src/limits/peak-history.js';
import {
  LimitFleet,
  account,
  limitConfiguration,
  membersOf,
} from './tools/limit-fleet.js';

const share = {tokensPerSecond: 10, capacityTokens: 100};
const emptyStart = {levelTokens: 0, refillStartsAt: 0};
const fullStart = {levelTokens: 100, refillStartsAt: 0};

function lend(
  bucket: TokenBucket,
  id: string,
  tokens: number,
  spareTokens: number,
): BucketGrant {
  const lifetimes = {
    lifetimeMilliseconds: 100,
    spareLifetimeMilliseconds: 100,
  };
  return bucket.grant({id, tokens, spareTokens, ...lifetimes}, 0);
}

async function filledFleet(holdersPerDomain?: number): Promise<LimitFleet> {
  const members = membersOf(3, 3);
  const fleet = new LimitFleet(
    members,
    limitConfiguration(1, 100, 90, members),
    () => 1,
    holdersPerDomain,
  );
  fleet.network.policy = () => ({...perfectDelivery, delayMilliseconds: 1.5});
  await fleet.clock.advance(10_000);
  return fleet;
}

test('bucket starts empty and refills to its capacity', t => {
  const bucket = new TokenBucket(share, emptyStart);
  t.is(bucket.available(0), 0);
  t.is(bucket.available(2_000), 20);
  t.is(bucket.available(20_000), 100);
});

test('refund is credited in full while there was room', t => {
  const bucket = new TokenBucket(share, fullStart);
  const {mark} = bucket.charge(80, 0);
  t.is(bucket.refund(mark, 50, 1_000), 50);
  t.is(bucket.available(1_000), 80);
});

test('refund is lost when the bucket was full meanwhile', t => {
  const bucket = new TokenBucket(share, fullStart);
  const {mark} = bucket.charge(80, 0);
  bucket.charge(100, 60_000);
  t.is(bucket.refund(mark, 50, 60_000), 0);
});

test('a second refund counts the credit of the first', t => {
  const bucket = new TokenBucket(share, fullStart);
  const first = bucket.charge(50, 0);
  bucket.available(4_000);
  const second = bucket.charge(40, 4_000);
  bucket.available(8_500);
  bucket.charge(90, 8_500);
  t.is(bucket.refund(first.mark, 50, 8_500), 5);
  t.is(bucket.refund(second.mark, 40, 8_500), 0);
});

test('lent tokens leave no room until they expire', t => {
  const bucket = new TokenBucket(share, fullStart);
  t.is(lend(bucket, 'a', 60, 0).tokens, 60);
  t.is(bucket.available(149), 40);
  t.is(bucket.available(1_150), 50);
});

test('spare tokens are only lent above half a bucket', t => {
  const bucket = new TokenBucket(share, fullStart);
  t.is(lend(bucket, 'a', 20, 100).tokens, 50);
  t.is(lend(bucket, 'b', 20, 100).tokens, 20);
});

test('a return counts once', t => {
  const bucket = new TokenBucket(share, fullStart);
  lend(bucket, 'a', 60, 0);
  t.is(bucket.takeBack('a', 1, 20, 10), 20);
  t.is(bucket.takeBack('a', 1, 20, 10), 0);
  t.is(bucket.takeBack('a', 2, 60, 10), 40);
  t.is(bucket.available(10), 100);
});

test('a return after the expiry is credited like a refund', t => {
  const bucket = new TokenBucket(share, fullStart);
  lend(bucket, 'a', 60, 0);
  t.is(bucket.takeBack('a', 1, 30, 1_150), 30);
  t.is(bucket.takeBack('a', 2, 30, 90_000), 0);
});

test('a grant is used until either clock says that it expired', t => {
  const borrowed = new BorrowedTokens();
  const lot = {holder: hostId('host-0'), id: 'a', tokens: 10, returnCount: 0};
  borrowed.add({...lot, expiresAt: 100, wallExpiresAt: 5_100});
  t.is(borrowed.available({now: 99, wallNow: 5_099}), 10);
  t.is(borrowed.available({now: 100, wallNow: 5_050}), 0);
  t.is(borrowed.available({now: 50, wallNow: 5_100}), 0);
  t.deepEqual(borrowed.take(10, {now: 50, wallNow: 5_100}), []);
  t.true(borrowed.isEmpty);
});

test('another share adds no tokens', t => {
  const bucket = new TokenBucket(share, fullStart);
  const {mark} = bucket.charge(50, 0);
  bucket.reconfigure({tokensPerSecond: 10, capacityTokens: 400}, 0);
  t.is(bucket.available(0), 50);
  t.is(bucket.refund(mark, 50, 0), 0);
  bucket.reconfigure({tokensPerSecond: 10, capacityTokens: 30}, 0);
  t.is(bucket.available(0), 30);
});

test('history rounds up what it merges', t => {
  const history = new PeakHistory();
  const marks = Array.from({length: 100}, (_, index) => {
    const mark = history.mark();
    history.record(1_000 - index);
    return mark;
  });
  marks.forEach((mark, index) => {
    t.true(history.peakSince(mark) >= 1_000 - index);
  });
});

test('shares add up to one and go by the size of a domain', t => {
  const members = membersOf(3, 3).slice(0, 8);
  const {membership} = limitConfiguration(1, 1, 1, members);
  const shares = holderShares(membership, account, 2);
  t.is(shares.length, 6);
  const sum = shares.reduce((total, {fraction}) => total + fraction, 0);
  t.true(Math.abs(sum - 1) < 1e-12);
  const last = shares.filter(one => one.failureDomain === 'domain-2');
  t.deepEqual(
    last.map(one => one.fraction),
    [1 / 8, 1 / 8],
  );
});

test('with two lists a holder has the smaller share', t => {
  const before = membersOf(3, 2);
  const added = [0, 1, 2].map(domain => ({
    host: `added-${domain}`,
    failureDomain: `domain-${domain}`,
    address: `10.0.1.${domain + 1}:7000`,
  }));
  const after = [...before, ...added];
  const {membership} = limitConfiguration(1, 1, 1, after, before);
  for (const one of holderShares(membership, account, 1))
    t.true(one.fraction <= 1 / 3 + 1e-12);
  t.deepEqual(holderShares(undefined, account, 1), []);
});

test('the whole burst is admitted at any host, and no more', async t => {
  const fleet = await filledFleet();
  const {limiter} = fleet.hosts[4]!;
  const first = await fleet.clock.runUntil(limiter.admit(account, 90));
  t.true(first.isOk);
  const second = await fleet.clock.runUntil(limiter.admit(account, 20));
  t.is(second.isErr && second.error.reason, 'rate-exceeded');
  t.true(second.isErr && second.error.retryAfterMilliseconds > 100);
  const {admittedAfterWait, refused, exchanges} = limiter.counters;
  t.deepEqual([admittedAfterWait, refused['rate-exceeded']], [1, 1]);
  t.true(exchanges > 0);
  await fleet.close();
});

test('a settled request gives tokens back to where they came from', async t => {
  const fleet = await filledFleet();
  const {limiter} = fleet.hosts[4]!;
  const first = await fleet.clock.runUntil(limiter.admit(account, 90));
  t.true(first.isOk);
  if (first.isOk) {
    first.value.settle(0);
    first.value.settle(0);
  }
  await fleet.clock.advance(10);
  const second = await fleet.clock.runUntil(limiter.admit(account, 90));
  t.true(second.isOk);
  await fleet.close();
});

test('waiting requests are served in order in one round', async t => {
  const fleet = await filledFleet();
  let asked = 0;
  fleet.network.policy = () => {
    asked += 1;
    return {...perfectDelivery, delayMilliseconds: 1.5};
  };
  const {limiter} = fleet.hosts[0]!;
  const order: number[] = [];
  const results = [40, 30, 20].map(async tokens => {
    const result = await limiter.admit(account, tokens);
    order.push(tokens);
    return result.isOk;
  });
  t.deepEqual(await fleet.clock.runUntil(Promise.all(results)), [
    true,
    true,
    true,
  ]);
  t.deepEqual(order, [40, 30, 20]);
  t.true(asked <= 32);
  await fleet.close();
});

test('a host that is no member borrows', async t => {
  const members = membersOf(3, 4);
  const listed = members.filter((_, index) => index % 4 !== 3);
  const fleet = new LimitFleet(members, limitConfiguration(1, 100, 90, listed));
  await fleet.clock.advance(10_000);
  const {limiter} = fleet.hosts[3]!;
  const result = await fleet.clock.runUntil(limiter.admit(account, 50));
  t.true(result.isOk);
  await fleet.close();
});

test('a cut host serves its own share without asking twice', async t => {
  const fleet = await filledFleet(3);
  const here = fleet.hosts[0]!;
  fleet.network.policy = () => ({...perfectDelivery, isDropped: true});
  const own = await fleet.clock.runUntil(here.limiter.admit(account, 5));
  t.true(own.isOk);
  const more = await fleet.clock.runUntil(here.limiter.admit(account, 60));
  t.is(more.isErr && more.error.reason, 'rate-exceeded');
  const before = fleet.clock.now();
  await fleet.clock.runUntil(here.limiter.admit(account, 60));
  t.is(fleet.clock.now(), before);
  await fleet.close();
});

test('a request waits for a refill that comes soon', async t => {
  const fleet = await filledFleet();
  const {limiter} = fleet.hosts[4]!;
  await fleet.clock.runUntil(limiter.admit(account, 90));
  await fleet.clock.advance(400);
  const asked = fleet.clock.now();
  const soon = await fleet.clock.runUntil(limiter.admit(account, 34));
  t.true(soon.isOk);
  t.true(fleet.clock.now() - asked > 10);
  t.true(fleet.clock.now() - asked <= 150);
  await fleet.close();
});

test('a restarted holder waits for grants of its former start', async t => {
  const fleet = await filledFleet(3);
  const holder = fleet.hosts[0]!;
  const request = {account, tokens: 10, spareTokens: 0};
  const value = {
    ...request,
    lifetimeMilliseconds: 1_000,
    spareLifetimeMilliseconds: 1_000,
  };
  const granted = () =>
    holder.limiter.handle({action: {$case: 'grant', value}}).tokens;
  t.is(granted(), 10);
  fleet.restart(holder);
  await fleet.clock.advance(1_274);
  t.is(granted(), 0);
  await fleet.clock.advance(500);
  t.true(granted() > 5);
  await fleet.close();
});

test('a closing host gives back what it borrowed', async t => {
  const fleet = await filledFleet();
  const [leaving, staying] = [fleet.hosts[4]!, fleet.hosts[0]!];
  const interrupted = leaving.limiter.admit(account, 90);
  await fleet.clock.advance(1);
  await fleet.clock.runUntil(leaving.limiter.close());
  t.true((await interrupted).isErr);
  const isHolder = leaving.limiter.accountsInMemory.held > 0;
  const rest = isHolder ? 60 : 90;
  const result = await fleet.clock.runUntil(
    staying.limiter.admit(account, rest),
  );
  t.true(result.isOk);
  await fleet.close();
});

test('refusals say why', async t => {
  const fleet = await filledFleet();
  const {limiter} = fleet.hosts[0]!;
  const reasonOf = async (name: string, tokens: number, signal?: AbortSignal) =>
    (await limiter.admit(accountId(name), tokens, signal)).match({
      Ok: () => 'admitted',
      Err: ({reason}) => reason,
    });
  t.is(await reasonOf('nobody', 1), 'unknown-account');
  t.is(await reasonOf(account, 91), 'larger-than-burst');
  t.is(await reasonOf(account, 1, AbortSignal.abort()), 'cancelled');
  await t.throwsAsync(limiter.admit(account, NaN), {
    instanceOf: InvalidTokensError,
  });
  const ended = new AbortController();
  const waiting = reasonOf(account, 80, ended.signal);
  ended.abort();
  t.is(await waiting, 'cancelled');
  const interrupted = reasonOf(account, 80);
  await fleet.close();
  t.is(await interrupted, 'closed');
  t.is(await reasonOf(account, 1), 'closed');
  t.deepEqual(limiter.counters.refused, {
    'unknown-account': 1,
    'larger-than-burst': 1,
    'rate-exceeded': 0,
    cancelled: 2,
    closed: 2,
  });
});

test('an account without configuration is unknown', async t => {
  const members = membersOf(1, 1);
  const fleet = new LimitFleet(members, emptyConfiguration);
  const result = await fleet.hosts[0]!.limiter.admit(account, 0);
  t.deepEqual(
    result,
    Result.err({reason: 'unknown-account', retryAfterMilliseconds: 0}),
  );
});

test('idle accounts leave memory and come back with their tokens', async t => {
  const fleet = await filledFleet();
  const {limiter} = fleet.hosts[0]!;
  await fleet.clock.runUntil(limiter.admit(account, 90));
  await fleet.clock.advance(30_000);
  t.deepEqual(limiter.accountsInMemory, {borrowed: 0, held: 0});
  const again = await fleet.clock.runUntil(limiter.admit(account, 90));
  t.true(again.isOk);
  await fleet.close();
});
