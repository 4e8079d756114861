import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {EventLoopMonitor} from '../src/connections/event-loop-monitor.js';

test.serial('a process that did not run reports for how long', async t => {
  const stalls: number[] = [];
  const monitor = new EventLoopMonitor({
    onStall: milliseconds => stalls.push(milliseconds),
  });
  t.teardown(() => monitor.close());
  await sleep(10);
  const end = performance.now() + 700;
  while (performance.now() < end);
  await sleep(300);
  t.true(stalls.length > 0);
  t.true(Math.max(...stalls) >= 400, stalls.join(' '));
});
