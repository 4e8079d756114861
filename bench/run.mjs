/**
 * Runs every bench one after another, goes on after a failure, prints a closing
 * summary and exits with 1 when any failed.
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
  return {name, isPassed: status === 0, end: signal ?? `exit ${status}`};
});

console.log('\n# summary');
for (const {name, isPassed, end} of outcomes)
  console.log(`${name.padEnd(16)} ${isPassed ? 'passed' : `FAILED (${end})`}`);
if (outcomes.some(({isPassed}) => !isPassed)) process.exitCode = 1;
