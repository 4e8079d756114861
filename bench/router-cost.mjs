/**
 * Measures the overhead of the daemon over direct calls to stand-in engines: time
 * to the first token, time between tokens, processor time and memory. The daemon,
 * the stand-ins and the load generator are separate processes on loopback. Exits
 * with status 1 if a figure exceeds its bound. Argument: a file for a processor
 * profile of the daemon.
 */
import {fork} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {parse} from 'yaml';
import {
  DaemonProcess,
  findFreeAddresses,
} from '../packages/standins/dist/src/index.js';
import {Inspector} from './router-cost/inspector.mjs';
import {openDirect, openRouted, timeStream} from './router-cost/streams.mjs';

const streamCount = 200;
const tokensPerStream = 150;
const rounds = 3;
const arrivalIntervalMilliseconds = 10;
const decodeStepMilliseconds = 20;
const decodeSlots = 256;
const promptTokens = 20;
const maximumPrintedFailures = 3;
const readinessAttempts = 50;
const readinessIntervalMilliseconds = 100;
const benchTimeoutMilliseconds = 58_000;

const boundsFile = new URL('bounds.yaml', import.meta.url);
const bounds = parse(readFileSync(boundsFile, 'utf8'))['router-cost'];
const profileFile = process.argv[2];
const pause = milliseconds =>
  new Promise(done => setTimeout(done, milliseconds));

async function startFleet() {
  const [peers, callers, operators] = await findFreeAddresses(3);
  const member = {host: 'north-1', failureDomain: 'north'};
  const standIns = fork(
    fileURLToPath(new URL('router-cost/stand-ins.mjs', import.meta.url)),
    [
      JSON.stringify({
        options: {decodeSlots, decodeStepMilliseconds},
        members: [{...member, address: peers}],
      }),
    ],
  );
  const [addresses] = await once(standIns, 'message');
  const {platform} = addresses;
  const plan = {...member, peers, callers, operators, platform, seeds: [peers]};
  const daemon = new DaemonProcess(plan);
  process.env.NODE_OPTIONS = '--inspect=127.0.0.1:0';
  daemon.start();
  delete process.env.NODE_OPTIONS;
  await daemon.waitUntilReady();
  return {standIns, addresses, daemon};
}

/** Runs one round of concurrent streams. */
async function runRound(open, whenAllOpen = async () => {}) {
  const streams = [];
  for (let index = 0; index < streamCount; index += 1) {
    const prompt = `p${index} `.repeat(promptTokens);
    const streamSpec = {index, prompt, tokens: tokensPerStream};
    const stream = timeStream(open, streamSpec);
    // Prevents an unhandled rejection; failures are collected after the round.
    stream.catch(() => {});
    streams.push(stream);
    await pause(arrivalIntervalMilliseconds);
  }
  const [results] = await Promise.all([
    Promise.allSettled(streams),
    whenAllOpen(),
  ]);
  const failed = results.filter(({status}) => status === 'rejected');
  for (const {reason} of failed.slice(0, maximumPrintedFailures))
    console.error(String(reason));
  return {
    streams: results.flatMap(({value}) => value ?? []),
    failed: failed.length,
  };
}

/** Waits until a stream through the daemon succeeds. */
async function waitForUpstreams(open) {
  const streamSpec = {index: 0, prompt: 'p', tokens: 1};
  for (let attempts = 0; attempts < readinessAttempts; attempts += 1) {
    try {
      return await timeStream(open, streamSpec);
    } catch {
      await pause(readinessIntervalMilliseconds);
    }
  }
  throw new Error('no stream through the daemon succeeded');
}

function quantile(values, fraction) {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))
  ];
}

async function measure({addresses, daemon}) {
  const inspector = await Inspector.attach(daemon);
  const direct = streamSpec => openDirect(addresses, streamSpec);
  const routed = streamSpec => openRouted(daemon.plan.callers, streamSpec);
  await waitForUpstreams(routed);
  const {failed} = await runRound(routed);
  console.log(`failed streams while warming up: ${failed}`);
  const results = {direct: [], routed: []};
  const failures = {direct: 0, routed: 0};
  const record = (path, round) => {
    results[path].push(...round.streams);
    failures[path] += round.failed;
  };
  let processorMilliseconds = 0;
  for (let round = 0; round < rounds; round += 1) {
    record('direct', await runRound(direct));
    if (profileFile) await inspector.send('Profiler.enable');
    if (profileFile) await inspector.send('Profiler.start');
    const before = await inspector.processorMilliseconds();
    record('routed', await runRound(routed));
    processorMilliseconds += (await inspector.processorMilliseconds()) - before;
    if (!profileFile) continue;
    const {profile} = await inspector.send('Profiler.stop');
    writeFileSync(profileFile, JSON.stringify(profile));
  }
  const idleBytes = await inspector.liveBytes();
  let openBytes = 0;
  await runRound(routed, async () => {
    openBytes = await inspector.liveBytes();
  });
  inspector.close();
  return {
    results,
    failures,
    processorMilliseconds,
    heldBytes: openBytes - idleBytes,
  };
}

function summarize({results, failures, processorMilliseconds, heldBytes}) {
  const added = (timesOf, fraction) =>
    quantile(results.routed.flatMap(timesOf), fraction) -
    quantile(results.direct.flatMap(timesOf), fraction);
  const first = ({first}) => first;
  const gaps = ({gaps}) => gaps;
  const events = results.routed.length * tokensPerStream;
  return [
    ['Added time to first token, median, ms', added(first, 0.5), 2],
    ['Added time to first token, 99th percentile, ms', added(first, 0.99), 2],
    ['Added time between tokens, median, ms', added(gaps, 0.5), 2],
    ['Added time between tokens, 99th percentile, ms', added(gaps, 0.99), 2],
    [
      'Streamed events per second and core',
      (1000 * events) / processorMilliseconds,
      0,
    ],
    ['Memory per stream, KB', heldBytes / streamCount / 1000, 1],
    ['Failed streams, direct', failures.direct, 0],
    ['Failed streams through the daemon', failures.routed, 0],
  ];
}

function printTable(rows) {
  const rowBounds = [
    ['at most', bounds.greatestAddedFirstTokenMilliseconds],
    [],
    ['at most', bounds.greatestAddedBetweenTokensMilliseconds],
    [],
    ['at least', bounds.leastEventsPerCoreSecond],
    ['at most', bounds.greatestKilobytesPerStream],
    ['at most', bounds.greatestFailedStreams],
    ['at most', bounds.greatestFailedStreams],
  ];
  console.log(
    `${streamCount} streams, ${rounds} rounds, ${tokensPerStream} tokens each, ` +
      `a decode step of ${decodeStepMilliseconds} ms, an arrival every ` +
      `${arrivalIntervalMilliseconds} ms`,
  );
  console.log('| Measure | Figure | Bound | Met |');
  console.log('|---|---|---|---|');
  for (const [index, [name, figure, digits]] of rows.entries()) {
    const [limitKind, bound] = rowBounds[index];
    const isMet =
      limitKind === undefined ||
      (limitKind === 'at most' ? figure <= bound : figure >= bound);
    if (!isMet) process.exitCode = 1;
    const cells =
      limitKind === undefined ? ['', ''] : [`${limitKind} ${bound}`, isMet];
    console.log(
      `| ${name} | ${figure.toFixed(digits)} | ${cells[0]} | ${cells[1]} |`,
    );
  }
}

const timeout = setTimeout(() => {
  console.error(`the bench took more than ${benchTimeoutMilliseconds} ms`);
  process.exit(1);
}, benchTimeoutMilliseconds);
const fleet = await startFleet();
process.on('exit', () => fleet.daemon.signal('SIGKILL'));
try {
  printTable(summarize(await measure(fleet)));
} finally {
  await fleet.daemon.close();
  fleet.standIns.disconnect();
  clearTimeout(timeout);
}
process.exit();
