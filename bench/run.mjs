/**
 * Runs all benches sequentially, continues after failures and prints a summary.
 * Exits with status 1 if a bench failed.
 */
import {spawnSync} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const benches = [
  {name: 'goodput', file: 'goodput.mjs', flags: []},
  {name: 'limits', file: 'limits.mjs', flags: ['--expose-gc']},
  {name: 'claims', file: 'claims.mjs', flags: []},
  {name: 'configuration', file: 'configuration.mjs', flags: []},
  {name: 'router cost', file: 'router-cost.mjs', flags: []},
];

const outcomes = benches.map(({name, file, flags}) => {
  console.log(`\n# ${name}`);
  const path = fileURLToPath(new URL(file, import.meta.url));
  const {status, signal} = spawnSync(process.execPath, [...flags, path], {
    stdio: 'inherit',
  });
  return {
    name,
    hasPassed: status === 0,
    termination: signal ?? `exit ${status}`,
  };
});

console.log('\n# summary');
for (const {name, hasPassed, termination} of outcomes)
  console.log(
    `${name.padEnd(16)} ${hasPassed ? 'passed' : `FAILED (${termination})`}`,
  );
if (outcomes.some(({hasPassed}) => !hasPassed)) process.exitCode = 1;
