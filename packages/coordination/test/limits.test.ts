import test from 'ava';
import {Result} from 'true-myth';
import {
  InvalidTokensError,
  TokenBucket,
  accountId,
  emptyConfiguration,
  holderShares,
  hostId,
  immediateDelivery,
} from '../src/index.js';
import type {BucketGrant} from '../src/index.js';
import {BorrowedTokens} from '../src/limits/borrowed-tokens.js';
import {PeakHistory} from '../src/limits/peak-history.js';
import {
  LimitFleet,
  account,
  limitConfiguration,
  createMembers,
} from './tools/limit-fleet.js';

const share = {tokensPerSecond: 10, capacityTokens: 100};
const emptyState = {levelTokens: 0, refillStartsAt: 0};
const fullState = {levelTokens: 100, refillStartsAt: 0};

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

async function createFilledFleet(
  holdersPerDomain?: number,
): Promise<LimitFleet> {
  const members = createMembers(3, 3);
  const fleet = new LimitFleet(
    members,
    limitConfiguration(1, 100, 90, members),
    () => 1,
    holdersPerDomain,
  );
  fleet.network.policy = () => ({...immediateDelivery, delayMilliseconds: 1.5});
  await fleet.clock.advance(10_000);
  return fleet;
}

test('a bucket starts empty and refills to its capacity', t => {
  const bucket = new TokenBucket(share, emptyState);
  t.is(bucket.available(0), 0);
  t.is(bucket.available(2_000), 20);
  t.is(bucket.available(20_000), 100);
});

test('a refund is credited in full if the bucket had headroom', t => {
  const bucket = new TokenBucket(share, fullState);
  const {mark} = bucket.charge(80, 0);
  t.is(bucket.refund(mark, 50, 1_000), 50);
  t.is(bucket.available(1_000), 80);
});

test('a refund is lost if the bucket was full since the charge', t => {
  const bucket = new TokenBucket(share, fullState);
  const {mark} = bucket.charge(80, 0);
  bucket.charge(100, 60_000);
  t.is(bucket.refund(mark, 50, 60_000), 0);
});

test('a second refund accounts for the credit of the first', t => {
  const bucket = new TokenBucket(share, fullState);
  const first = bucket.charge(50, 0);
  bucket.available(4_000);
  const second = bucket.charge(40, 4_000);
  bucket.available(8_500);
  bucket.charge(90, 8_500);
  t.is(bucket.refund(first.mark, 50, 8_500), 5);
  t.is(bucket.refund(second.mark, 40, 8_500), 0);
});

test('lent tokens occupy capacity until they expire', t => {
  const bucket = new TokenBucket(share, fullState);
  t.is(lend(bucket, 'a', 60, 0).tokens, 60);
  t.is(bucket.available(149), 40);
  t.is(bucket.available(1_150), 50);
});

test('spare tokens are lent only from more than half a bucket', t => {
  const bucket = new TokenBucket(share, fullState);
  t.is(lend(bucket, 'a', 20, 100).tokens, 50);
  t.is(lend(bucket, 'b', 20, 100).tokens, 20);
});

test('a duplicate return is credited once', t => {
  const bucket = new TokenBucket(share, fullState);
  lend(bucket, 'a', 60, 0);
  t.is(bucket.creditReturn('a', 1, 20, 10), 20);
  t.is(bucket.creditReturn('a', 1, 20, 10), 0);
  t.is(bucket.creditReturn('a', 2, 60, 10), 40);
  t.is(bucket.available(10), 100);
});

test('a return after the expiry is credited like a refund', t => {
  const bucket = new TokenBucket(share, fullState);
  lend(bucket, 'a', 60, 0);
  t.is(bucket.creditReturn('a', 1, 30, 1_150), 30);
  t.is(bucket.creditReturn('a', 2, 30, 90_000), 0);
});

test('a grant expires when either clock passes its expiry', t => {
  const borrowed = new BorrowedTokens();
  const grant = {
    holderHost: hostId('host-0'),
    id: 'a',
    tokens: 10,
    returnCount: 0,
  };
  borrowed.add({...grant, expiresAt: 100, wallExpiresAt: 5_100});
  t.is(borrowed.available({now: 99, wallNow: 5_099}), 10);
  t.is(borrowed.available({now: 100, wallNow: 5_050}), 0);
  t.is(borrowed.available({now: 50, wallNow: 5_100}), 0);
  t.deepEqual(borrowed.take(10, {now: 50, wallNow: 5_100}), []);
  t.true(borrowed.isEmpty);
});

test('a share change adds no tokens', t => {
  const bucket = new TokenBucket(share, fullState);
  const {mark} = bucket.charge(50, 0);
  bucket.reconfigure({tokensPerSecond: 10, capacityTokens: 400}, 0);
  t.is(bucket.available(0), 50);
  t.is(bucket.refund(mark, 50, 0), 0);
  bucket.reconfigure({tokensPerSecond: 10, capacityTokens: 30}, 0);
  t.is(bucket.available(0), 30);
});

test('the peak history rounds merged totals up', t => {
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

test('shares sum to one and are proportional to domain size', t => {
  const members = createMembers(3, 3).slice(0, 8);
  const {membership} = limitConfiguration(1, 1, 1, members);
  const shares = holderShares(membership, account, 2);
  t.is(shares.length, 6);
  const sum = shares.reduce((total, {fraction}) => total + fraction, 0);
  t.true(Math.abs(sum - 1) < 1e-12);
  const last = shares.filter(
    holderShare => holderShare.failureDomain === 'domain-2',
  );
  t.deepEqual(
    last.map(holderShare => holderShare.fraction),
    [1 / 8, 1 / 8],
  );
});

test('a holder has the smaller of its shares under two lists', t => {
  const before = createMembers(3, 2);
  const added = [0, 1, 2].map(domain => ({
    host: `added-${domain}`,
    failureDomain: `domain-${domain}`,
    address: `10.0.1.${domain + 1}:7000`,
  }));
  const after = [...before, ...added];
  const {membership} = limitConfiguration(1, 1, 1, after, before);
  for (const holderShare of holderShares(membership, account, 1))
    t.true(holderShare.fraction <= 1 / 3 + 1e-12);
  t.deepEqual(holderShares(undefined, account, 1), []);
});

test('any host admits the whole burst and no more', async t => {
  const fleet = await createFilledFleet();
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

test('settling a request returns tokens to their sources', async t => {
  const fleet = await createFilledFleet();
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

test('waiting requests are served in order by one round of grants', async t => {
  const fleet = await createFilledFleet();
  let messageCount = 0;
  fleet.network.policy = () => {
    messageCount += 1;
    return {...immediateDelivery, delayMilliseconds: 1.5};
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
  t.true(messageCount <= 32);
  await fleet.close();
});

test('a host that is not a member borrows tokens', async t => {
  const members = createMembers(3, 4);
  const listed = members.filter((_, index) => index % 4 !== 3);
  const fleet = new LimitFleet(members, limitConfiguration(1, 100, 90, listed));
  await fleet.clock.advance(10_000);
  const {limiter} = fleet.hosts[3]!;
  const result = await fleet.clock.runUntil(limiter.admit(account, 50));
  t.true(result.isOk);
  await fleet.close();
});

test('a partitioned host serves its own share without repeated exchanges', async t => {
  const fleet = await createFilledFleet(3);
  const partitionedHost = fleet.hosts[0]!;
  fleet.network.policy = () => ({...immediateDelivery, isDropped: true});
  const own = await fleet.clock.runUntil(
    partitionedHost.limiter.admit(account, 5),
  );
  t.true(own.isOk);
  const more = await fleet.clock.runUntil(
    partitionedHost.limiter.admit(account, 60),
  );
  t.is(more.isErr && more.error.reason, 'rate-exceeded');
  const before = fleet.clock.now();
  await fleet.clock.runUntil(partitionedHost.limiter.admit(account, 60));
  t.is(fleet.clock.now(), before);
  await fleet.close();
});

test('a request waits for an imminent refill', async t => {
  const fleet = await createFilledFleet();
  const {limiter} = fleet.hosts[4]!;
  await fleet.clock.runUntil(limiter.admit(account, 90));
  await fleet.clock.advance(400);
  const requestedAt = fleet.clock.now();
  const soon = await fleet.clock.runUntil(limiter.admit(account, 34));
  t.true(soon.isOk);
  t.true(fleet.clock.now() - requestedAt > 10);
  t.true(fleet.clock.now() - requestedAt <= 150);
  await fleet.close();
});

test('a restarted holder waits for grants of its previous incarnation to expire', async t => {
  const fleet = await createFilledFleet(3);
  const holder = fleet.hosts[0]!;
  const request = {account, tokens: 10, spareTokens: 0};
  const value = {
    ...request,
    lifetimeMilliseconds: 1_000,
    spareLifetimeMilliseconds: 1_000,
  };
  const grantedTokens = () =>
    holder.limiter.handle({action: {$case: 'grant', value}}).tokens;
  t.is(grantedTokens(), 10);
  fleet.restart(holder);
  await fleet.clock.advance(1_274);
  t.is(grantedTokens(), 0);
  await fleet.clock.advance(500);
  t.true(grantedTokens() > 5);
  await fleet.close();
});

test('a closing host returns borrowed tokens', async t => {
  const fleet = await createFilledFleet();
  const [closingHost, remainingHost] = [fleet.hosts[4]!, fleet.hosts[0]!];
  const pendingAdmission = closingHost.limiter.admit(account, 90);
  await fleet.clock.advance(1);
  await fleet.clock.runUntil(closingHost.limiter.close());
  t.true((await pendingAdmission).isErr);
  const isHolder = closingHost.limiter.accountsInMemory.held > 0;
  const availableTokens = isHolder ? 60 : 90;
  const result = await fleet.clock.runUntil(
    remainingHost.limiter.admit(account, availableTokens),
  );
  t.true(result.isOk);
  await fleet.close();
});

test('refusals report their reason', async t => {
  const fleet = await createFilledFleet();
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
  const abortController = new AbortController();
  const waiting = reasonOf(account, 80, abortController.signal);
  abortController.abort();
  t.is(await waiting, 'cancelled');
  const pendingAdmission = reasonOf(account, 80);
  await fleet.close();
  t.is(await pendingAdmission, 'closed');
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
  const members = createMembers(1, 1);
  const fleet = new LimitFleet(members, emptyConfiguration);
  const result = await fleet.hosts[0]!.limiter.admit(account, 0);
  t.deepEqual(
    result,
    Result.err({reason: 'unknown-account', retryAfterMilliseconds: 0}),
  );
});

test('idle accounts leave memory without losing tokens', async t => {
  const fleet = await createFilledFleet();
  const {limiter} = fleet.hosts[0]!;
  await fleet.clock.runUntil(limiter.admit(account, 90));
  await fleet.clock.advance(30_000);
  t.deepEqual(limiter.accountsInMemory, {used: 0, held: 0});
  const again = await fleet.clock.runUntil(limiter.admit(account, 90));
  t.true(again.isOk);
  await fleet.close();
});
