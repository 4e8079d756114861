import {defaultInvariantBounds, upstreamId} from '@persimmonwick/coordination';
import {sampleKeys} from '@persimmonwick/standins';
import test from 'ava';
import {FaultRun, countOutcomes} from '../tools/fault-run.js';

const killAndRestart = async (run: FaultRun) => {
  const daemon = run.daemons[1]!;
  await run.kill(daemon);
  daemon.start();
  await daemon.waitUntilReady();
};

test.serial('restart with the platform down or stale', async t => {
  const run = await FaultRun.start(t);
  const {platform} = run.group.fleet;
  const oldVersion = run.group.fleet.publishKey('old', 'key-old', 'batinah');
  const version = run.group.fleet.publishKey('new', 'key-new', 'batinah');
  run.recordPublished(version);
  await run.waitForVersion(version);
  platform.fault = 'down';
  await killAndRestart(run);
  await run.waitForVersion(version);
  t.is((await run.streamWithRetries(1, 50)).answer.kind, 'whole');
  platform.fault = 'none';
  platform.staleVersion = oldVersion;
  await killAndRestart(run);
  await run.waitForVersion(version);
  t.is((await run.streamWithRetries(1, 50)).answer.kind, 'whole');
  await run.checkInvariants();
});

test.serial('key withdrawn and upstream leaving', async t => {
  const run = await FaultRun.start(t);
  const {fleet, recorder} = run.group;
  const leaving = fleet.decodeEngines[2]!;
  const longStreams = [0, 1, 2].flatMap(index =>
    run.startStreams(index, 4, 500),
  );
  await run.waitUntil('12 streams', () => run.streamingRequestCount === 12);
  recorder.record({
    kind: 'upstream-leaving',
    upstream: upstreamId(leaving.address),
  });
  run.recordPublished(fleet.publishLeaving(leaving));
  const deadline =
    performance.now() + defaultInvariantBounds.leavingMilliseconds;
  while (performance.now() < deadline) await run.streamWithRetries(0, 20);
  const newStreams = [0, 1, 2].flatMap(index => run.startStreams(index, 6, 50));
  t.deepEqual(countOutcomes(await Promise.all(newStreams)), {whole: 18});
  t.deepEqual(countOutcomes(await Promise.all(longStreams)), {whole: 12});

  const streamsOfWithdrawnKey = [0, 1, 2].map(index =>
    run.streamWithRetries(index, 12_000, 'batinah'),
  );
  const streamsOfOtherKey = [0, 1, 2].map(index =>
    run.streamWithRetries(index, 500, 'lembaga'),
  );
  const startedBefore = run.streamingRequestCount;
  await run.waitUntil(
    'streams',
    () => run.streamingRequestCount >= startedBefore + 6,
  );
  const version = fleet.platform.withdraw('Key/batinah');
  recorder.record({kind: 'key-withdrawn', key: sampleKeys.batinah});
  run.recordPublished(version);
  await run.waitForVersion(version);
  t.deepEqual(countOutcomes(await Promise.all(streamsOfWithdrawnKey)), {
    'failed key-withdrawn': 3,
  });
  t.deepEqual(countOutcomes(await Promise.all(streamsOfOtherKey)), {whole: 3});
  t.is((await run.call(1, 'orders')).code, 'unknown-key');
  await run.checkInvariants();
});
