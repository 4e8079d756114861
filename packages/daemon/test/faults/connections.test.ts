import type {ProxyFault} from '@persimmonwick/standins';
import test from 'ava';
import {FaultRun, countOutcomes} from '../tools/fault-run.js';

const startNineStreams = (run: FaultRun) =>
  [0, 1, 2].flatMap(index => run.startStreams(index, 3, 400));

const setFault = (run: FaultRun, fault: ProxyFault) => {
  for (const engine of run.group.fleet.decodeEngines)
    run.group.proxyOf(engine).setFault(fault);
};

test.serial('connections to engines fail', async t => {
  const run = await FaultRun.start(t, {usesProxies: true});
  const {decodeEngines} = run.group.fleet;

  const silenced = startNineStreams(run);
  await run.waitUntil('9 streams', () => run.streamingRequestCount === 9);
  for (const engine of decodeEngines)
    run.group.proxyOf(engine).silenceOpenConnections();
  t.deepEqual(countOutcomes(await Promise.all(silenced)), {whole: 9});

  const dropped = startNineStreams(run);
  await run.waitUntil('18 streams', () => run.streamingRequestCount === 18);
  setFault(run, {kind: 'dropped'});
  setFault(run, {kind: 'none'});
  t.deepEqual(countOutcomes(await Promise.all(dropped)), {whole: 9});

  const delayed = startNineStreams(run);
  await run.waitUntil('27 streams', () => run.streamingRequestCount === 27);
  setFault(run, {kind: 'delayed', milliseconds: 30});
  t.deepEqual(countOutcomes(await Promise.all(delayed)), {whole: 9});
  setFault(run, {kind: 'none'});
  await run.checkInvariants();
});

test.serial('connections to one engine stop forwarding data', async t => {
  const run = await FaultRun.start(t, {usesProxies: true});
  const [engine] = run.group.fleet.decodeEngines;
  const streams = startNineStreams(run);
  await run.waitUntil('9 streams', () => run.streamingRequestCount === 9);
  run.group.proxyOf(engine!).setFault({kind: 'silent'});
  const streamsDuringFault = [0, 1, 2].map(index =>
    run.streamWithRetries(index, 100),
  );
  t.deepEqual(countOutcomes(await Promise.all(streams)), {whole: 9});
  t.deepEqual(countOutcomes(await Promise.all(streamsDuringFault)), {whole: 3});
  run.group.proxyOf(engine!).setFault({kind: 'none'});
  await run.checkInvariants();
});

test.serial('open connections to the platform go silent', async t => {
  const run = await FaultRun.start(t, {usesProxies: true});
  const {fleet} = run.group;
  run.group.proxyOf(fleet.platform).silenceOpenConnections();
  const version = fleet.publishKey('more', 'key-more', 'batinah');
  run.recordPublished(version);
  await run.waitForVersion(version);
  await run.checkInvariants();
});
