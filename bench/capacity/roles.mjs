/** Slopes of what each role sends, computes and keeps, on virtual time. */

import {Buffer} from 'node:buffer';
import {accountId} from '../../packages/coordination/dist/src/index.js';
import {PrefixCacheView} from '../../packages/coordination/dist/src/placement/cache-view.js';
import {accountDocument, accountName} from './documents.mjs';
import {CapacityFleet} from './fleet.mjs';
import {heapBytes, lineThrough, processorMicroseconds} from './slope.mjs';

export const hostCounts = [2, 4, 9, 18];
export const accountCounts = [100, 1000, 6100];
export const upstreamCounts = [4, 16, 64];
const windowMilliseconds = 60_000;
const retentionMilliseconds = 620_000;
const requestsForEachHost = 10.6;

export async function withFleet(options, use) {
  const fleet = new CapacityFleet(options);
  await fleet.start();
  const result = await use(fleet);
  await fleet.close();
  return result;
}

/** An idle fleet: heartbeats, configuration, sweeps of nothing. */
export async function measureIdle() {
  const rows = [];
  for (const hosts of hostCounts)
    rows.push(
      await withFleet({hosts}, async fleet => {
        const cost = await processorMicroseconds(1, () =>
          fleet.clock.advance(windowMilliseconds),
        );
        const seconds = windowMilliseconds / 1000;
        return {
          hosts,
          domains: fleet.domains,
          fleet: fleet.rates('fleet', windowMilliseconds),
          configuration: fleet.rates('configuration', windowMilliseconds),
          platformPerSecond: fleet.platformCalls / seconds,
          processorMicroseconds: cost / hosts / seconds,
        };
      }),
    );
  return rows;
}

/** Exchanges for limits, each account at any host, against non-holders. */
export async function measureLimits() {
  const rows = [];
  for (const hosts of hostCounts)
    rows.push(
      await withFleet({hosts, accounts: 6100, domains: 1}, async fleet => {
        const seconds = 5;
        const total = Math.round(requestsForEachHost * hosts * seconds);
        const gap = (seconds * 1000) / total;
        for (let index = 0; index < total; index += 1) {
          const host = Math.floor(fleet.random.next() * hosts);
          const account = Math.floor(fleet.random.next() * 6100);
          void useTokens(fleet, host, account);
          await fleet.clock.advance(gap);
        }
        await fleet.clock.advance(1000);
        const {exchanges = 0, bytes = 0} = fleet.traffic.get('limit') ?? {};
        return {
          hosts,
          otherShare: 1 - 1 / hosts,
          exchangesEach: exchanges / total,
          bytesEach: bytes / Math.max(1, exchanges),
        };
      }),
    );
  return rows;
}

async function useTokens(fleet, host, account) {
  const {limiter} = fleet.hosts[host];
  const admitted = await limiter.admit(accountId(accountName(account)), 1500);
  if (admitted.isErr) throw new RangeError(admitted.error.kind);
  admitted.value.settle(1000);
}

/** Heap of each account: published, and in use. Also a delta's time. */
export async function measureAccounts() {
  const rows = [];
  for (const accounts of accountCounts) {
    const before = new CapacityFleet({hosts: 4, accounts});
    const empty = heapBytes();
    await before.start();
    const published = (heapBytes() - empty) / 4;
    const delta = await measureDelta(before, 10);
    const base = heapBytes();
    for (let index = 0; index < accounts; index += 1)
      void useTokens(before, index % 4, index);
    await before.clock.advance(1500);
    const used = (heapBytes() - base) / 4;
    rows.push({accounts, published, used, delta});
    await before.close();
  }
  return rows;
}

function measureDelta(fleet, rounds) {
  return processorMicroseconds(rounds, async index => {
    fleet.publish([accountDocument(0, 10_000_001 + index)]);
    await fleet.clock.advance(200);
  }).then(cost => cost / fleet.hosts.length);
}

/** Reads of engines by hosts in use, and heap of each engine at a host. */
export async function measureEngines() {
  const rows = [];
  for (const upstreams of upstreamCounts) {
    const fleet = new CapacityFleet({hosts: 4, upstreams});
    await fleet.start();
    const base = heapBytes();
    for (let host = 0; host < 4; host += 1)
      await fleet.clock.runUntil(fleet.complete(host, host, 100, 1));
    const heap = (heapBytes() - base) / 4;
    fleet.resetCounts();
    const seconds = 5;
    const cost = await processorMicroseconds(1, () =>
      fleet.clock.advance(seconds * 1000),
    );
    const {load, cacheEvents} = fleet.engineCalls;
    rows.push({
      upstreams,
      heap,
      loads: load / 4 / seconds,
      cachePages: cacheEvents / 4 / seconds,
      processorMicroseconds: cost / 4 / seconds,
    });
    await fleet.close();
  }
  return rows;
}

/** Heap of a full view of one engine's prefix cache. */
export function measureCacheView() {
  const rows = [];
  const view = new PrefixCacheView();
  const base = heapBytes();
  let stored = 0;
  for (const blocks of [512, 1024, 2048, 4096]) {
    for (; stored < blocks; stored += 1)
      view.store(Buffer.from(String(stored).padStart(32, 'x')).toString('hex'));
    rows.push([blocks, heapBytes() - base]);
  }
  view.countCachedPrefix([]);
  return lineThrough(rows);
}

/** Processor time of a completion by its tokens, the engine model included. */
export function measureEntry() {
  // Short steps, so that little else happens while tokens come.
  const engine = {decodeStepMilliseconds: 1};
  return withFleet({hosts: 2, domains: 1, engine}, async fleet => {
    const rows = [];
    const run = tokens => () =>
      fleet.clock.runUntil(fleet.complete(0, 0, 100, tokens));
    await processorMicroseconds(20, run(50));
    for (const tokens of [1, 100, 200, 400])
      rows.push([tokens, await processorMicroseconds(30, run(tokens))]);
    return lineThrough(rows);
  });
}

/** Heap and time of claims at hosts that are all witnesses, by their number. */
export function measureClaims() {
  return withFleet({hosts: 3, domains: 3}, async fleet => {
    // Witnesses that have just started abstain for the whole retention.
    await fleet.clock.advance(retentionMilliseconds);
    fleet.resetCounts();
    const rows = [];
    const base = heapBytes();
    let count = 0;
    const [route] = fleet.hosts[0].configuration.routes.filter(
      ({name}) => name === 'orders',
    );
    const call = index => {
      const body = new Uint8Array(200);
      return fleet.hosts[index % 3].call(
        {
          request: `request-${index}`,
          account: accountId(accountName(index % 100)),
          route,
          idempotencyKey: `key-${String(index).padStart(32, '0')}`,
          deadline: fleet.clock.now() + 5000,
          method: 'POST',
          path: '/orders/1',
          headers: {},
          body,
        },
        new AbortController().signal,
      );
    };
    for (const target of [500, 1000, 2000, 3000]) {
      while (count < target) {
        const answer = await fleet.clock.runUntil(call((count += 1)));
        if (answer.isErr) throw new RangeError(answer.error.code);
        for await (const chunk of answer.value.body) void chunk;
      }
      await fleet.clock.advance(1000);
      rows.push([target, heapBytes() - base]);
    }
    const {exchanges, bytes} = fleet.traffic.get('claim');
    const cost = await processorMicroseconds(500, async () => {
      const answer = await fleet.clock.runUntil(call((count += 1)));
      if (answer.isErr) throw new RangeError(answer.error.code);
    });
    return {
      heap: lineThrough(rows).slope / 3,
      exchangesEach: exchanges / 3000,
      bytesEach: bytes / exchanges,
      processorMicroseconds: cost,
    };
  });
}
