/**
 * Measures the goodput of placement policies in virtual time and compares it with
 * the bounds in bench/bounds.yaml. Arguments: `seed=NUMBER`, and substrings that
 * select scenarios by title.
 */

import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {Worker} from 'node:worker_threads';
import {parse} from 'yaml';
import {deployments} from './goodput/workload.mjs';
import {findBoundViolations} from './goodput/bounds.mjs';

const defaultSeed = 20_260_101;
const threadCount = 2;
const loads = [0.7, 1.0, 1.5, 3.0];
const faults = ['none', 'engine', 'host', 'domain'];
const policies = {
  reserving: {kind: 'reserving', choices: 2, slots: 'shares'},
  'least load': {kind: 'least-reported'},
  'round robin': {kind: 'round-robin'},
};
/** `single host` applies the same policy on one host. */
const additionalPolicies = {
  'slots as reported': {kind: 'reserving', choices: 2, slots: 'reported'},
  'single host': {kind: 'reserving', choices: 2, slots: 'reported'},
};

const args = process.argv.slice(2);
const seedArgument = args.find(argument => argument.startsWith('seed='));
const seed = Number(seedArgument?.slice('seed='.length) ?? defaultSeed);
const titleFilters = args.filter(argument => argument !== seedArgument);

/**
 * Without a fault, all policies run at loads of 1.0 and 3.0 and `policies` at
 * other loads. Under a fault, `policies` run at a load of 1.0 and only `reserving`
 * at other loads.
 */
function policiesFor(fault, load) {
  if (fault === 'none' && (load === 1 || load === 3))
    return {...policies, ...additionalPolicies};
  if (fault === 'none' || load === 1) return policies;
  return {reserving: policies.reserving};
}

function* scenarios() {
  for (const name of Object.keys(deployments))
    for (const fault of faults)
      for (const load of loads) {
        const selectedPolicies = policiesFor(fault, load);
        for (const [policyName, policy] of Object.entries(selectedPolicies))
          yield {
            name,
            fault,
            load,
            policyName,
            policy,
            seed,
            isSingleHost: policyName === 'single host',
          };
      }
  for (const name of Object.keys(deployments))
    for (const [variant, factors] of Object.entries({
      even: {},
      'first at 5x': {first: 5},
    }))
      yield {
        name,
        fault: 'none',
        load: 0.7,
        policyName: `reserving, ${variant}`,
        policy: policies.reserving,
        seed: seed + 1,
        factors,
      };
}

const percent = value => `${(value * 100).toFixed(1)}%`;
const formatRow = ({name, fault, load, policyName, figures}) =>
  `| ${[
    name,
    fault,
    load.toFixed(1),
    policyName,
    percent(figures.goodput),
    percent(figures.reached),
    percent(figures.wasted),
    figures.worstAccount.toFixed(2),
    figures.refused,
    figures.late,
    figures.failed,
    figures.arrived,
  ].join(' | ')} |`;

console.log(`seed ${seed}, 5 s of warm-up and 15 s measured, virtual time\n`);
console.log(
  '| deployment | fault | load | policy | goodput of capacity | of achievable goodput | wasted prefill | worst account of fair share | refused | late | failed | arrived |',
);
console.log(`|${' --- |'.repeat(12)}`);

const startedAt = performance.now();
const results = await measureAll(
  [...scenarios()].filter(scenario => {
    const {name, fault, load, policyName} = scenario;
    const title = `${name}/${fault}/${load.toFixed(1)}/${policyName}`;
    return titleFilters.every(filter => title.includes(filter));
  }),
);
const seconds = (performance.now() - startedAt) / 1000;
console.log(`\n${results.length} scenarios in ${seconds.toFixed(0)} s`);

const bounds = parse(
  readFileSync(new URL('bounds.yaml', import.meta.url), 'utf8'),
).goodput;
const violations = findBoundViolations(bounds, results);
for (const violation of violations) console.log(`bound violated: ${violation}`);
process.exitCode = violations.length > 0 ? 1 : 0;

/** Measures scenarios on several threads; their number does not affect figures. */
async function measureAll(selected) {
  const measured = [];
  let next = 0;
  let printed = 0;
  const runWorker = async () => {
    const worker = new Worker(new URL('goodput/worker.mjs', import.meta.url));
    while (next < selected.length) {
      const index = next++;
      worker.postMessage({index, scenario: selected[index]});
      const [{figures}] = await once(worker, 'message');
      measured[index] = {...selected[index], figures};
      while (measured[printed] !== undefined)
        console.log(formatRow(measured[printed++]));
    }
    await worker.terminate();
  };
  await Promise.all(Array.from({length: threadCount}, runWorker));
  return measured;
}
