/** Time of one admission from locally held tokens, and memory of many accounts. */

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

const admissionCount = 200_000;
const admissionsPerBatch = 100;
const accountCount = 6_100;
const admissionBoundMicroseconds = 5;
const memoryBoundMegabytes = 30;

/** Measures the median time of one admission on the system clock. */
export async function measureAdmission() {
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
  for (let round = 0; round < admissionCount / admissionsPerBatch; round += 1) {
    const admitted = [];
    const start = performance.now();
    for (let index = 0; index < admissionsPerBatch; index += 1)
      admitted.push(await limiter.admit(account, 100));
    times.push(((performance.now() - start) * 1_000) / admissionsPerBatch);
    for (const result of admitted) {
      if (!result.isOk)
        throw new RangeError('an admission was refused during the measurement');
      result.value.settle(50);
    }
  }
  await limiter.close();
  times.sort((left, right) => left - right);
  const median = times[times.length / 2];
  console.log(
    `\nadmission from locally held tokens: median ${median.toFixed(2)} us (bound ${admissionBoundMicroseconds} us)`,
  );
  if (median > admissionBoundMicroseconds) process.exitCode = 1;
}

/** Measures the heap of the limiters of nine hosts with all accounts in use. */
export async function measureMemory() {
  const accounts = Array.from({length: accountCount}, (_, index) => ({
    name: `account-${index}`,
    rate: 1_000,
    burst: 10_000,
  }));
  const fleet = new LimiterFleet(accounts, {});
  await fleet.clock.advance(15_000);
  const baselineMegabytes = heapMegabytes();
  for (const [index, {name}] of accounts.entries()) {
    const admitted = fleet.admit(index % members.length, name, 4_000);
    if (index % 100 === 0) await fleet.clock.runUntil(admitted);
    else void admitted.then(result => result.isOk && result.value.settle(0));
  }
  await fleet.clock.advance(2_000);
  const usedMegabytes = heapMegabytes() - baselineMegabytes;
  console.log(
    `memory of ${accountCount} accounts in use at ${members.length} hosts: ${usedMegabytes.toFixed(1)} MB in total (bound ${memoryBoundMegabytes} MB)`,
  );
  if (usedMegabytes > memoryBoundMegabytes) process.exitCode = 1;
  await fleet.close();
}

function heapMegabytes() {
  if (globalThis.gc === undefined) throw new RangeError('run with --expose-gc');
  globalThis.gc();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return (heapUsed + arrayBuffers) / 2 ** 20;
}
