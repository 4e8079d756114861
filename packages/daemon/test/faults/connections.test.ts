import type {ProxyFault} from '@persimmonwick/standins';
import test from 'ava';
import {FaultRun, countAnswers} from '../tools/fault-run.js';

const nine = (run: FaultRun) =>
  [0, 1, 2].flatMap(index => run.streams(index, 3, 400));

const setFault = (run: FaultRun, fault: ProxyFault) => {
  for (const engine of run.group.fleet.decodeEngines)
    run.group.proxyOf(engine).setFault(fault);
};

test.serial('connections to engines fail', async t => {
  const run = await FaultRun.start(t, {usesProxies: true});
  const {decodeEngines} = run.group.fleet;

  const silenced = nine(run);
  await run.until('9 streams', () => run.streaming === 9);
  for (const engine of decodeEngines)
    run.group.proxyOf(engine).silenceOpenConnections();
  t.deepEqual(countAnswers(await Promise.all(silenced)), {whole: 9});

  const dropped = nine(run);
  await run.until('18 streams', () => run.streaming === 18);
  setFault(run, {kind: 'dropped'});
  setFault(run, {kind: 'none'});
  t.deepEqual(countAnswers(await Promise.all(dropped)), {whole: 9});

  const delayed = nine(run);
  await run.until('27 streams', () => run.streaming === 27);
  setFault(run, {kind: 'delayed', milliseconds: 30});
  t.deepEqual(countAnswers(await Promise.all(delayed)), {whole: 9});
  setFault(run, {kind: 'none'});
  await run.check();
});

test.serial('engine behind a black hole', async t => {
  const run = await FaultRun.start(t, {usesProxies: true});
  const [engine] = run.group.fleet.decodeEngines;
  const streams = nine(run);
  await run.until('9 streams', () => run.streaming === 9);
  run.group.proxyOf(engine!).setFault({kind: 'silent'});
  const during = [0, 1, 2].map(index => run.stream(index, 100));
  t.deepEqual(countAnswers(await Promise.all(streams)), {whole: 9});
  t.deepEqual(countAnswers(await Promise.all(during)), {whole: 3});
  run.group.proxyOf(engine!).setFault({kind: 'none'});
  await run.check();
});

test.serial('connections to the platform go silent', async t => {
  const run = await FaultRun.start(t, {usesProxies: true});
  const {fleet} = run.group;
  run.group.proxyOf(fleet.platform).silenceOpenConnections();
  const version = fleet.publishKey('more', 'key-more', 'batinah');
  run.recordPublished(version);
  await run.untilVersion(version);
  await run.check();
});
