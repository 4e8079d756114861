/** Time of one admission against tokens at hand, and memory of many accounts. */

import {performance} from 'node:perf_hooks';
import {
  Limiter,
  accountId,
  failureDomainId,
  hostId,
  incarnation,
  systemClock,
} from '../packages/coordination/dist/src/index.js';
import {LimiterFleet, configurationOf, members} from './limits-fleet.mjs';

const admissions = 200_000;
const batch = 100;
const accountCount = 6_100;
const admissionBoundMicroseconds = 5;
const memoryBoundMegabytes = 30;

/** Median time of one admission and its settling on the process's clock. */
export async function measureSpeed() {
  const name = 'account-0';
  const configuration = configurationOf(
    [{name, rate: 1e12, burst: 1e12}],
    [members[0]],
  );
  const limiter = new Limiter({
    clock: systemClock,
    transport: {exchange: () => new Promise(() => {})},
    self: hostId(members[0].host),
    incarnation: incarnation('1'),
    failureDomain: failureDomainId(members[0].failureDomain),
    configuration: () => configuration,
  });
  await systemClock.sleep(1_500);
  const account = accountId(name);
  const times = [];
  for (let round = 0; round < admissions / batch; round += 1) {
    const admitted = [];
    const start = performance.now();
    for (let index = 0; index < batch; index += 1)
      admitted.push(await limiter.admit(account, 100));
    times.push(((performance.now() - start) * 1_000) / batch);
    for (const result of admitted) {
      if (!result.isOk) throw new RangeError('refused in the measurement');
      result.value.settle(50);
    }
  }
  await limiter.close();
  times.sort((left, right) => left - right);
  const median = times[times.length / 2];
  console.log(
    `\nadmission against tokens at hand: median ${median.toFixed(2)} us (bound ${admissionBoundMicroseconds} us)`,
  );
  if (median > admissionBoundMicroseconds) process.exitCode = 1;
}

/** Heap that the limiters of nine hosts use for accounts all in use. */
export async function measureMemory() {
  const accounts = Array.from({length: accountCount}, (_, index) => ({
    name: `account-${index}`,
    rate: 1_000,
    burst: 10_000,
  }));
  const fleet = new LimiterFleet(accounts, {});
  await fleet.clock.advance(15_000);
  const before = heapMegabytes();
  for (const [index, {name}] of accounts.entries()) {
    const admitted = fleet.admit(index % members.length, name, 4_000);
    if (index % 100 === 0) await fleet.clock.runUntil(admitted);
    else void admitted.then(result => result.isOk && result.value.settle(0));
  }
  await fleet.clock.advance(2_000);
  const used = heapMegabytes() - before;
  console.log(
    `memory of ${accountCount} accounts in use at ${members.length} hosts: ${used.toFixed(1)} MB in all (bound ${memoryBoundMegabytes} MB)`,
  );
  if (used > memoryBoundMegabytes) process.exitCode = 1;
  await fleet.close();
}

function heapMegabytes() {
  if (globalThis.gc === undefined) throw new RangeError('run with --expose-gc');
  globalThis.gc();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return (heapUsed + arrayBuffers) / 2 ** 20;
}
