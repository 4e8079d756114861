import test from 'ava';
import {VirtualClock} from '../src/index.js';
import {StallMonitor} from '../src/stall-monitor.js';
import {PausableClock} from './tools/pausable-clock.js';

const never = new Promise<never>(() => undefined);

function recordProgress(monitor: StallMonitor<string>): void {
  monitor.suspend();
  monitor.resume();
}

/** A monitor whose searches find what `available` holds. */
function createMonitor(options: {deadline?: number} = {}) {
  const time = new VirtualClock();
  const clock = new PausableClock(time);
  const released: string[] = [];
  const found = {available: undefined as string | undefined, searches: 0};
  const monitor = new StallMonitor<string>({
    clock,
    stallMilliseconds: 1000,
    deadline: options.deadline ?? 10_000,
    findReplacement: async () => {
      found.searches += 1;
      await time.sleep(20);
      return found.available;
    },
    releaseReplacement: replacement => released.push(replacement),
  });
  return {time, clock, monitor, found, released};
}

test('a stalled attempt is kept while there is no replacement', async t => {
  const {time, monitor, found} = createMonitor();
  const waiting = monitor.wait(never);
  await time.advance(5000);
  t.true(found.searches >= 10, String(found.searches));
  found.available = 'engine-2';
  t.deepEqual(await time.runUntil(waiting), {
    kind: 'replaced',
    replacement: 'engine-2',
  });
  t.true(time.now() < 5400, String(time.now()));
});

test('an attempt that goes on during a search keeps its upstream', async t => {
  const {time, monitor, found, released} = createMonitor();
  found.available = 'engine-2';
  const work = time.sleep(1010).then(() => 'event');
  const result = await time.runUntil(monitor.wait(work));
  t.deepEqual(result, {kind: 'ready', value: 'event'});
  recordProgress(monitor);
  await time.advance(100);
  t.deepEqual(released, ['engine-2']);
  monitor.close();
});

test('a stalled attempt without a replacement ends at its deadline', async t => {
  const {time, monitor} = createMonitor({deadline: 3000});
  t.deepEqual(await time.runUntil(monitor.wait(never)), {kind: 'overdue'});
  t.true(time.now() >= 3000 && time.now() < 3100, String(time.now()));
});

test('an attempt with progress outlives its deadline', async t => {
  const {time, monitor} = createMonitor({deadline: 3000});
  for (let event = 0; event < 10; event += 1) {
    const next = await time.runUntil(monitor.wait(time.sleep(700)));
    t.is(next.kind, 'ready');
    recordProgress(monitor);
  }
  monitor.close();
});

test('signs of life without progress postpone a search once', async t => {
  const {time, monitor, found} = createMonitor();
  for (let chunk = 0; chunk < 19; chunk += 1) {
    await time.runUntil(monitor.wait(time.sleep(100)));
    monitor.recordActivity();
  }
  t.is(found.searches, 0);
  void monitor.wait(never);
  await time.advance(200);
  t.is(found.searches, 1);
  monitor.close();
});

test('time in which the caller reads slowly is no silence of the upstream', async t => {
  const {time, monitor, found} = createMonitor();
  monitor.suspend();
  await time.advance(5000);
  monitor.resume();
  void monitor.wait(never);
  await time.advance(900);
  t.is(found.searches, 0);
  await time.advance(200);
  t.is(found.searches, 1);
  monitor.close();
});

test('a pause of the process is no silence of the upstream', async t => {
  const {time, clock, monitor, found} = createMonitor();
  const waiting = monitor.wait(time.sleep(2500));
  await time.advance(900);
  clock.pause();
  await time.advance(2000);
  clock.resume();
  t.is((await time.runUntil(waiting)).kind, 'ready');
  recordProgress(monitor);
  t.is(found.searches, 0);
  monitor.close();
});

test('a closed monitor releases what a search still finds', async t => {
  const {time, monitor, found, released} = createMonitor();
  found.available = 'engine-2';
  void monitor.wait(never);
  await time.advance(1010);
  t.is(found.searches, 1);
  monitor.close();
  await time.advance(1000);
  t.deepEqual(released, ['engine-2']);
  t.is(found.searches, 1);
});

test('a replacement that nothing waited for is freed when the monitor closes', async t => {
  const {time, monitor, found, released} = createMonitor();
  found.available = 'engine-2';
  await time.advance(1100);
  t.deepEqual(released, []);
  monitor.close();
  monitor.close();
  t.deepEqual(released, ['engine-2']);
});

test('a replacement that was handed over is not freed by the monitor', async t => {
  const {time, monitor, found, released} = createMonitor();
  found.available = 'engine-2';
  const result = await time.runUntil(monitor.wait(never));
  t.is(result.kind, 'replaced');
  monitor.close();
  t.deepEqual(released, []);
});
