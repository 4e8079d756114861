import {
  CallerCrowd,
  DaemonProcess,
  SampleFleet,
  chunksOf,
  exhaustingBodies,
  findFreeAddresses,
  framingHeader,
  sampleKeys,
  usageOf,
} from '@persimmonwick/standins';
import type {
  BodyFraming,
  ExhaustingBody,
  WrittenParts,
} from '@persimmonwick/standins';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import {sleep} from '../tools/fault-run.js';

/** The memory of a machine if its settings state none. */
const memoryBytes = 200_000_000;
const maximumDescriptors = 512;
const limitBytes = 4 * 1024 * 1024;
const smallBytes = 256 * 1024;
const settleMilliseconds = 4000;
const tryMilliseconds = 5000;
const ordinaryMilliseconds = 30_000;
const authorization = `Bearer ${sampleKeys.batinah}`;

async function startProcess(
  t: ExecutionContext,
): Promise<{fleet: SampleFleet; daemon: DaemonProcess}> {
  const [callers, operators, peers] = (await findFreeAddresses(3)) as [
    string,
    string,
    string,
  ];
  const place = {host: 'north-1', failureDomain: 'north'};
  const fleet = new SampleFleet({}, [{...place, address: peers}]);
  fleet.service.dropsBodies = true;
  await fleet.start();
  t.teardown(() => fleet.close());
  const daemon = new DaemonProcess({
    ...{...place, callers, operators, peers, seeds: []},
    platform: fleet.platform.address,
    nodeOptions: ['--max-old-space-size=110', '--max-semi-space-size=4'],
  });
  t.teardown(() => daemon.close());
  daemon.start();
  await daemon.waitUntilReady();
  return {fleet, daemon};
}

async function* requestParts(
  id: string,
  framing: BodyFraming,
  body: WrittenParts,
): AsyncIterable<Buffer> {
  const lines = [
    'POST /orders/a HTTP/1.1',
    'Host: north-1',
    `x-request-id: ${id}`,
    `authorization: ${authorization}`,
    framingHeader(framing),
  ];
  yield Buffer.from(`${lines.join('\r\n')}\r\n\r\n`);
  yield* body;
}

function openCrowd(
  t: ExecutionContext,
  {plan}: DaemonProcess,
  {callers, framing, parts}: ExhaustingBody,
): CallerCrowd {
  const crowd = new CallerCrowd(plan.callers, callers, caller =>
    requestParts(`crowd-${caller}`, framing, parts()),
  );
  t.teardown(() => crowd.close());
  return crowd;
}

async function callOnce({plan}: DaemonProcess): Promise<number> {
  const {statusCode, body} = await request(`http://${plan.callers}/orders/1`, {
    headers: {authorization},
    reset: true,
    signal: AbortSignal.timeout(tryMilliseconds),
  });
  await body.dump();
  return statusCode;
}

/** Repeats an ordinary call until it is served. */
async function isServed(daemon: DaemonProcess): Promise<boolean> {
  const giveUpAt = performance.now() + ordinaryMilliseconds;
  while (performance.now() < giveUpAt) {
    const status = await callOnce(daemon).catch(() => 0);
    if (status === 201) return true;
    await sleep(100);
  }
  return false;
}

function checkProcess(t: ExecutionContext, daemon: DaemonProcess): void {
  t.true(daemon.isRunning, daemon.output.slice(-2000));
  if (!daemon.isRunning) return;
  const {peakBytes, descriptors} = usageOf(daemon.processId);
  t.log(`${Math.round(peakBytes / 1e6)} MB, ${descriptors} descriptors`);
  t.true(peakBytes < memoryBytes, `${peakBytes} bytes`);
  t.true(descriptors < maximumDescriptors, `${descriptors} descriptors`);
}

for (const body of exhaustingBodies(limitBytes))
  test.serial(`${body.name} exhaust no daemon`, async t => {
    const {fleet, daemon} = await startProcess(t);
    const crowd = openCrowd(t, daemon, body);
    await crowd.settle(settleMilliseconds);
    t.true(await isServed(daemon), 'no ordinary call is served beside them');
    checkProcess(t, daemon);
    crowd.close();
    t.true(await isServed(daemon), 'no ordinary call is served after them');
    checkProcess(t, daemon);
    const ids = fleet.service.runs.map(({headers}) => headers['x-request-id']);
    for (const [caller, status] of crowd.statuses.entries())
      if ([408, 413, 429, 503].includes(status))
        t.false(ids.includes(`crowd-${caller}`), `${status}, and it ran`);
    t.log(crowd.statuses.join());
  });

for (const [name, framing, parts] of [
  [
    'with a length',
    {kind: 'length', bytes: limitBytes},
    [Buffer.alloc(limitBytes, 'x')],
  ],
  [
    'in chunks of one byte',
    {kind: 'chunks'},
    [...chunksOf(1, smallBytes), Buffer.from('0\r\n\r\n')],
  ],
] as const)
  test.serial(`a large body ${name} is served by a daemon`, async t => {
    const {daemon} = await startProcess(t);
    const crowd = openCrowd(t, daemon, {
      ...{name, callers: 1, framing, parts: () => parts},
    });
    const giveUpAt = performance.now() + ordinaryMilliseconds;
    while (crowd.statuses[0] === 0 && performance.now() < giveUpAt)
      await sleep(20);
    t.deepEqual(crowd.statuses, [201]);
    checkProcess(t, daemon);
  });
