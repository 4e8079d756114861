/**
 * Measures the cost of each role of a host as a linear function of its load, with
 * the product's code.
 *
 *     npm run capacity
 */
import {measureEngineReads, measureGrpc} from './capacity/wire.mjs';
import {seed} from './capacity/fleet.mjs';
import {
  measureAccounts,
  measureCacheView,
  measureClaims,
  measureEngines,
  measureCompletions,
  measureIdle,
  measureLimits,
} from './capacity/roles.mjs';
import {measureSweeps, measureView} from './capacity/peers.mjs';
import {printProjection} from './capacity/project.mjs';

const loadReport = {
  ageMilliseconds: 12,
  queuedPrefillTokens: 12_000,
  prefillTokensPerSecond: 40_000,
  decodeSlots: 20,
  decodeSlotsUsed: 17,
  decodeStepMilliseconds: 31.5,
  heldTokens: 81_234,
};
const emptyCachePage = {newestSequence: 123_456, events: []};
const runningAttempt = index => ({
  request: `0193e5a0-0000-7000-8000-${String(index).padStart(12, '0')}`,
  attempt: `0193e5a0-0000-7000-8000-000000000001/${index}`,
  owner: {
    host: 'entry-host-001',
    incarnation: '0193e5a0-0000-7000-8000-000000000001',
  },
  state: 'decoding',
  ageMilliseconds: 5123,
});

const measurements = {
  grpc: measureGrpc,
  engineReads: async () => {
    const reads = {};
    for (const attemptCount of [0, 20, 40])
      reads[attemptCount] = await measureEngineReads(
        loadReport,
        emptyCachePage,
        Array.from({length: attemptCount}, (_, index) => runningAttempt(index)),
      );
    return reads;
  },
  idle: measureIdle,
  limits: measureLimits,
  accounts: measureAccounts,
  engines: measureEngines,
  cacheView: measureCacheView,
  entry: measureCompletions,
  claims: measureClaims,
  view: measureView,
  sweeps: measureSweeps,
};

console.log(`seed ${seed}, Node.js ${process.version}`);
const results = {};
for (const [name, measure] of Object.entries(measurements)) {
  const start = performance.now();
  results[name] = await measure();
  const seconds = (performance.now() - start) / 1000;
  console.log(`\n${name} (${seconds.toFixed(1)} s)`);
  console.log(
    JSON.stringify(results[name], undefined, 1).replaceAll(/\n\s{2,}/g, ' '),
  );
}
printProjection(results);
const peakMegabytes = process.resourceUsage().maxRSS / 1024;
console.log(`\npeak memory of this process: ${peakMegabytes.toFixed(0)} MB`);
