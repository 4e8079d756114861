import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {runCommand} from '../src/run-command.js';

type Fields = Record<string, string | number>;

let sequence = 0;

function logLine(
  host: string,
  time: number,
  name: string,
  fields: Fields = {},
) {
  sequence += 1;
  return JSON.stringify({
    context: {application: 'persimmonwickd', host, event: 1, name, ...fields},
    message: name,
    sequence: String(sequence),
    time,
  });
}

function writeLogs(
  t: ExecutionContext,
  ...texts: readonly string[][]
): string[] {
  const folder = mkdtempSync(join(tmpdir(), 'persimmonwick-trace-'));
  t.teardown(() => rmSync(folder, {recursive: true}));
  return texts.map((lines, index) => {
    const file = join(folder, `host-${index}.log`);
    writeFileSync(file, `${lines.join('\n')}\n`);
    return file;
  });
}

async function trace(...args: string[]) {
  const lines: string[] = [];
  const write = (text: string) => void lines.push(text);
  const status = await runCommand(['trace', ...args], {
    input: process.stdin,
    print: write,
    printError: write,
    prompt: write,
  });
  return {status, lines, text: lines.join('\n')};
}

const request = 'one';
const admitted = {request, route: 'r', account: 'a', version: '3', tokens: 9};
const reserve = {request, purpose: 'reserve', upstream: 'd-1'};
const attempt = {request, purpose: 'run', upstream: 'd-1'};

test('lines of several files are ordered by time', async t => {
  const paths = writeLogs(
    t,
    [
      logLine('h-2', 300, 'requestFinished', {
        request,
        status: 200,
        milliseconds: 200,
      }),
      logLine('h-2', 150, 'callStageDone', {
        ...attempt,
        outcome: '200',
        took: 9,
      }),
    ],
    [
      `2026-12-04 h-1 ${logLine('h-1', 100, 'callAdmitted', admitted)}`,
      logLine('h-1', 120, 'callAdmitted', {...admitted, request: 'other'}),
      logLine('h-1', 140, 'upstreamChosen', {...attempt, candidates: 2}),
    ],
  );
  const {status, lines} = await trace('one', ...paths);
  t.is(status, 0);
  t.deepEqual(
    lines.slice(0, 4).map(text => text.trim().split(' ')[3]),
    ['callAdmitted', 'upstreamChosen', 'callStageDone', 'requestFinished'],
  );
  t.is(lines.length, 5);
  t.is(
    lines[4],
    'Completed with status 200 after 200 ms, last attempt at d-1.',
  );
});

test('a refusal for lack of engine memory lists the reservation outcomes', async t => {
  const paths = writeLogs(t, [
    logLine('h', 1, 'callAdmitted', admitted),
    logLine('h', 2, 'upstreamChosen', reserve),
    logLine('h', 3, 'callStageDone', {...reserve, outcome: 'refused', took: 1}),
    logLine('h', 4, 'requestFailed', {
      request,
      status: 503,
      code: 'queue-full',
      ran: 'not-run',
    }),
  ]);
  const {text} = await trace('one', ...paths);
  t.regex(text, /of 1 asked, 1 refused\. It did not run\.$/);
  t.notRegex(text, /missing/);
});

test('the explanation of an interrupted stream names the engine and the lack of a retry', async t => {
  const failed = {request, status: 200, code: 'upstream-failed', ran: 'ran'};
  const lines = [
    logLine('h', 1, 'callAdmitted', admitted),
    logLine('h', 3, 'callStageDone', {...attempt, outcome: '200', took: 1}),
  ];
  const end = logLine('h', 5, 'requestFailed', failed);
  const explanations = {
    route: /The answer of d-1 broke off; .*allows no further run/,
    budget: /retry budget was used up/,
    deadline: /deadline had passed/,
    attempts: /maximum number of upstreams/,
    prompt: /the request may be the cause/,
  };
  for (const [limit, explanation] of Object.entries(explanations)) {
    const fields = {request, reason: 'broken', limit};
    const withheld = logLine('h', 4, 'callRetryWithheld', fields);
    const [path] = writeLogs(t, [...lines, withheld, end]);
    t.regex((await trace('one', path!)).text, explanation);
  }
  const [unknown] = writeLogs(t, [...lines, end]);
  t.regex(
    (await trace('one', unknown!)).text,
    /The answer of d-1 broke off; .*the logs do not show the limit/,
  );
});

test('refusals for limits and quarantines name the reason and the time', async t => {
  const refused = (code: string) =>
    logLine('h', 5, 'requestFailed', {
      request,
      status: 503,
      code,
      ran: 'not-run',
    });
  const limited = {request, wait: 370, ahead: 2, outcome: 'refused'};
  const quarantined = {request, part: 'f1', remaining: 9000};
  const [limits, quarantine] = writeLogs(
    t,
    [logLine('h', 2, 'callLimited', limited), refused('queue-full')],
    [
      logLine('h', 2, 'callQuarantined', quarantined),
      refused('request-quarantined'),
    ],
  );
  t.regex(
    (await trace('one', limits!)).text,
    /limits .* in 370 ms\. It did not/,
  );
  t.regex((await trace('one', quarantine!)).text, /went down on f1.* 9000 ms/);
});

test('an unknown execution state is reported as unknown', async t => {
  const paths = writeLogs(t, [
    logLine('h', 1, 'callAdmitted', admitted),
    logLine('h', 3, 'callStageDone', {
      ...attempt,
      outcome: 'silent',
      took: 900,
    }),
    logLine('h', 4, 'requestFailed', {
      request,
      status: 504,
      code: 'upstream-timeout',
      ran: 'unknown',
    }),
  ]);
  const {text} = await trace('one', ...paths);
  t.regex(text, /Failed at d-1 \(silent\).*only the upstream can tell/);
});

test('missing lines are reported: end, stage outcome, dropped lines, restart', async t => {
  const paths = writeLogs(t, [
    logLine('h', 1, 'upstreamChosen', attempt),
    JSON.stringify({message: 'log lines were dropped', dropped: 7}),
    logLine('h', 4000, 'passthroughStarted', {incarnation: '1'}),
  ]);
  const {status, text} = await trace('one', ...paths);
  t.is(status, 0);
  t.regex(text, /no line says that it was admitted/);
  t.regex(text, /what became of run at d-1/);
  t.regex(text, /no line says how it ended/);
  t.regex(text, /left out 7 lines/);
  t.regex(text, /h started again 4\.0 s after/);
});

test('a request without log lines has exit status 1', async t => {
  const paths = writeLogs(t, [
    logLine('h', 1, 'callAdmitted', admitted),
    'no JSON {',
  ]);
  const {status, text} = await trace('two', ...paths);
  t.is(status, 1);
  t.regex(text, /Nothing is known of it/);
});

test('an unreadable file is reported by its path', async t => {
  const {status, text} = await trace('one', '/nowhere/at.log');
  t.is(status, 2);
  t.regex(text, /\/nowhere\/at\.log: ENOENT/);
});
