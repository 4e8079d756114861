import {
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {invariantConditions, loadTrace} from '@persimmonwick/coordination';
import test from 'ava';
import {runCommand} from '../src/run-command.js';

const folder = fileURLToPath(new URL('../../../../traces', import.meta.url));
const traces = readdirSync(folder);

async function replay(file: string) {
  const lines: string[] = [];
  const write = (line: string) => void lines.push(line);
  const status = await runCommand(['replay', file], {
    input: process.stdin,
    print: write,
    printError: write,
    prompt: write,
  });
  return {status, text: lines.join('\n')};
}

for (const file of traces)
  test.serial(`trace ${file}`, async t => {
    const {status, text} = await replay(join(folder, file));
    t.is(status, 0, text);
  });

test('the traces cover every condition and every failure', t => {
  const covers = traces.map(file => {
    const text = readFileSync(join(folder, file), 'utf8');
    return loadTrace(text).unwrapOrElse(faults => {
      throw new TypeError(JSON.stringify(faults));
    }).covers;
  });
  const covered = new Set(covers.flatMap(trace => trace.conditions));
  t.deepEqual(
    invariantConditions.filter(condition => !covered.has(condition)),
    [],
  );
  const failures = new Set(covers.flatMap(trace => trace.failures));
  t.is(failures.size, 9);
  t.true(traces.length >= 20);
});

test('an outcome that differs is reported', async t => {
  const file = writeTrace(t.title, 'whole');
  const {status, text} = await replay(file);
  t.is(status, 1);
  t.true(text.includes('r1: expected {"kind":"whole"}, got'));
});

test('an invalid field of a trace is reported with its line', async t => {
  const {status, text} = await replay(writeTrace(t.title, 'invalid'));
  t.is(status, 2);
  t.regex(text, /:10: \/outcomes\/0\/answers\/0/);
});

function writeTrace(name: string, outcome: string): string {
  const directory = mkdtempSync(join(tmpdir(), 'persimmonwick-trace-'));
  const file = join(directory, 'trace.yaml');
  writeFileSync(
    file,
    `name: ${name}
covers: {conditions: [whole-answer], failures: []}
seed: 1
durationMilliseconds: 1000
fleet:
  hosts: [{host: north-1, failureDomain: north}]
  accounts: [{name: batinah, rateTokensPerSecond: 10, burstTokens: 100}]
arrivals:
  - {kind: call, at: 5, request: r1, host: north-1, path: /orders/1}
outcomes: [{request: r1, answers: [{kind: ${outcome}}]}]
`,
  );
  process.once('exit', () => rmSync(directory, {recursive: true}));
  return file;
}
