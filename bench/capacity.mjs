/**
 * Slopes of what each role of a host costs, measured with the product's code.
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
  measureEntry,
  measureIdle,
  measureLimits,
} from './capacity/roles.mjs';
import {measureSweeps, measureView} from './capacity/peers.mjs';
import {printProjection} from './capacity/project.mjs';

const load = {
  ageMilliseconds: 12,
  queuedPrefillTokens: 12_000,
  prefillTokensPerSecond: 40_000,
  decodeSlots: 20,
  decodeSlotsUsed: 17,
  decodeStepMilliseconds: 31.5,
  heldTokens: 81_234,
};
const emptyPage = {newestSequence: 123_456, events: []};
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

const steps = {
  grpc: measureGrpc,
  engineReads: async () => {
    const reads = {};
    for (const attempts of [0, 20, 40])
      reads[attempts] = await measureEngineReads(
        load,
        emptyPage,
        Array.from({length: attempts}, (_, index) => runningAttempt(index)),
      );
    return reads;
  },
  idle: measureIdle,
  limits: measureLimits,
  accounts: measureAccounts,
  engines: measureEngines,
  cacheView: measureCacheView,
  entry: measureEntry,
  claims: measureClaims,
  view: measureView,
  sweeps: measureSweeps,
};

console.log(`seed ${seed}, Node.js ${process.version}`);
const measured = {};
for (const [name, step] of Object.entries(steps)) {
  const start = performance.now();
  measured[name] = await step();
  const seconds = (performance.now() - start) / 1000;
  console.log(`\n${name} (${seconds.toFixed(1)} s)`);
  console.log(
    JSON.stringify(measured[name], undefined, 1).replaceAll(/\n\s{2,}/g, ' '),
  );
}
printProjection(measured);
const peakMegabytes = process.resourceUsage().maxRSS / 1024;
console.log(`\npeak memory of this process: ${peakMegabytes.toFixed(0)} MB`);
