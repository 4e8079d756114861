/** Measures traffic, processor time and memory of each role in virtual time. */

import {Buffer} from 'node:buffer';
import {accountId} from '../../packages/coordination/dist/src/index.js';
import {PrefixCacheView} from '../../packages/coordination/dist/src/placement/cache-view.js';
import {accountDocument, accountName} from './documents.mjs';
import {CapacityFleet} from './fleet.mjs';
import {heapBytes, lineThrough, processorMicroseconds} from './slope.mjs';

export const hostCounts = [2, 4, 9, 18];
export const accountCounts = [100, 1000, 6100];
export const upstreamCounts = [4, 16, 64];
const measuredMilliseconds = 60_000;
/** Exceeds the default claim retention of 600 s. */
const abstentionMilliseconds = 620_000;
/** 3,800 requests per second divided among 360 hosts. */
const requestsPerHostSecond = 10.6;

export async function withFleet(options, measure) {
  const fleet = new CapacityFleet(options);
  await fleet.start();
  const result = await measure(fleet);
  await fleet.close();
  return result;
}

/** Cost of an idle fleet: heartbeats, configuration polls and empty sweeps. */
export async function measureIdle() {
  const rows = [];
  for (const hosts of hostCounts)
    rows.push(
      await withFleet({hosts}, async fleet => {
        const cost = await processorMicroseconds(1, () =>
          fleet.clock.advance(measuredMilliseconds),
        );
        const seconds = measuredMilliseconds / 1000;
        return {
          hosts,
          domains: fleet.domainCount,
          fleet: fleet.rates('fleet', measuredMilliseconds),
          configuration: fleet.rates('configuration', measuredMilliseconds),
          platformPerSecond: fleet.platformCalls / seconds,
          processorMicroseconds: cost / hosts / seconds,
        };
      }),
    );
  return rows;
}

/**
 * Limit exchanges per request by the fraction of hosts that are not holders. Each
 * request uses a random account at a random host.
 */
export async function measureLimits() {
  const rows = [];
  for (const hosts of hostCounts)
    rows.push(
      await withFleet({hosts, accounts: 6100, domains: 1}, async fleet => {
        const seconds = 5;
        const requestCount = Math.round(
          requestsPerHostSecond * hosts * seconds,
        );
        const arrivalIntervalMilliseconds = (seconds * 1000) / requestCount;
        for (let index = 0; index < requestCount; index += 1) {
          const host = Math.floor(fleet.random.next() * hosts);
          const account = Math.floor(fleet.random.next() * 6100);
          void consumeTokens(fleet, host, account);
          await fleet.clock.advance(arrivalIntervalMilliseconds);
        }
        await fleet.clock.advance(1000);
        const {exchanges = 0, bytes = 0} = fleet.traffic.get('limit') ?? {};
        return {
          hosts,
          nonHolderFraction: 1 - 1 / hosts,
          exchangesPerRequest: exchanges / requestCount,
          bytesPerExchange: bytes / Math.max(1, exchanges),
        };
      }),
    );
  return rows;
}

async function consumeTokens(fleet, host, account) {
  const {limiter} = fleet.hosts[host];
  const admitted = await limiter.admit(accountId(accountName(account)), 1500);
  if (admitted.isErr) throw new RangeError(admitted.error.kind);
  admitted.value.settle(1000);
}

/** Heap per host by number of accounts, and processor time to apply a delta. */
export async function measureAccounts() {
  const rows = [];
  for (const accounts of accountCounts) {
    const fleet = new CapacityFleet({hosts: 4, accounts});
    const baselineBytes = heapBytes();
    await fleet.start();
    const publishedHeapBytes = (heapBytes() - baselineBytes) / 4;
    const deltaMicroseconds = await measureDelta(fleet, 10);
    const baselineUsedBytes = heapBytes();
    for (let index = 0; index < accounts; index += 1)
      void consumeTokens(fleet, index % 4, index);
    await fleet.clock.advance(1500);
    const usedHeapBytes = (heapBytes() - baselineUsedBytes) / 4;
    rows.push({
      accounts,
      publishedHeapBytes,
      usedHeapBytes,
      deltaMicroseconds,
    });
    await fleet.close();
  }
  return rows;
}

function measureDelta(fleet, rounds) {
  return processorMicroseconds(rounds, async index => {
    fleet.publish([accountDocument(0, 10_000_001 + index)]);
    await fleet.clock.advance(200);
  }).then(cost => cost / fleet.hosts.length);
}

/** Engine reads and heap per host by number of engines, with requests at all. */
export async function measureEngines() {
  const rows = [];
  for (const upstreams of upstreamCounts) {
    const fleet = new CapacityFleet({hosts: 4, upstreams});
    await fleet.start();
    const baselineBytes = heapBytes();
    for (let host = 0; host < 4; host += 1)
      await fleet.clock.runUntil(fleet.complete(host, host, 100, 1));
    const hostHeapBytes = (heapBytes() - baselineBytes) / 4;
    fleet.resetCounts();
    const seconds = 5;
    const cost = await processorMicroseconds(1, () =>
      fleet.clock.advance(seconds * 1000),
    );
    const {load, cacheEvents} = fleet.engineCalls;
    rows.push({
      upstreams,
      hostHeapBytes,
      loadReadsPerSecond: load / 4 / seconds,
      cacheReadsPerSecond: cacheEvents / 4 / seconds,
      processorMicroseconds: cost / 4 / seconds,
    });
    await fleet.close();
  }
  return rows;
}

/** Heap of a view of one engine's prefix cache by its number of blocks. */
export function measureCacheView() {
  const rows = [];
  const view = new PrefixCacheView();
  const baselineBytes = heapBytes();
  let storedBlocks = 0;
  for (const blocks of [512, 1024, 2048, 4096]) {
    for (; storedBlocks < blocks; storedBlocks += 1)
      view.store(
        Buffer.from(String(storedBlocks).padStart(32, 'x')).toString('hex'),
      );
    rows.push([blocks, heapBytes() - baselineBytes]);
  }
  // Keeps the view reachable until the last measurement.
  view.countCachedPrefix([]);
  return lineThrough(rows);
}

/**
 * Processor time of a completion by its output tokens, including that of the
 * simulated engine.
 */
export function measureCompletions() {
  // Short steps minimize the periodic work that runs during a stream.
  const engine = {decodeStepMilliseconds: 1};
  return withFleet({hosts: 2, domains: 1, engine}, async fleet => {
    const rows = [];
    const completeWith = tokens => () =>
      fleet.clock.runUntil(fleet.complete(0, 0, 100, tokens));
    await processorMicroseconds(20, completeWith(50));
    for (const tokens of [1, 100, 200, 400])
      rows.push([
        tokens,
        await processorMicroseconds(30, completeWith(tokens)),
      ]);
    return lineThrough(rows);
  });
}

/** Heap and processor time of claims in a fleet where each host is a witness. */
export function measureClaims() {
  return withFleet({hosts: 3, domains: 3}, async fleet => {
    // Witnesses abstain for the retention time after their start.
    await fleet.clock.advance(abstentionMilliseconds);
    fleet.resetCounts();
    const rows = [];
    const baselineBytes = heapBytes();
    let callCount = 0;
    const [route] = fleet.hosts[0].configuration.routes.filter(
      ({name}) => name === 'orders',
    );
    const sendCall = index => {
      const body = new Uint8Array(200);
      return fleet.hosts[index % 3].callService(
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
      while (callCount < target) {
        const response = await fleet.clock.runUntil(sendCall((callCount += 1)));
        if (response.isErr) throw new RangeError(response.error.code);
        for await (const chunk of response.value.body) void chunk;
      }
      await fleet.clock.advance(1000);
      rows.push([target, heapBytes() - baselineBytes]);
    }
    const {exchanges, bytes} = fleet.traffic.get('claim');
    const cost = await processorMicroseconds(500, async () => {
      const response = await fleet.clock.runUntil(sendCall((callCount += 1)));
      if (response.isErr) throw new RangeError(response.error.code);
    });
    return {
      heap: lineThrough(rows).slope / 3,
      exchangesPerRequest: exchanges / 3000,
      bytesPerExchange: bytes / exchanges,
      processorMicroseconds: cost,
    };
  });
}
