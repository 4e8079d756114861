import test from 'ava';
import {stat} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {PauseAwareTimeout} from '../../src/connections/pause-aware-timeout.js';
import {standStill} from '../tools/stand-still.js';

const timeoutMilliseconds = 40;

const sleep = (milliseconds: number) =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

test.serial(
  'input that arrived during a pause is read before the timeout ends the wait',
  async t => {
    let hasTimedOut = false;
    const timeout = new PauseAwareTimeout(timeoutMilliseconds, () => {
      hasTimedOut = true;
    });
    let isRead = false;
    stat(fileURLToPath(import.meta.url), () => {
      isRead = true;
      timeout.clear();
    });
    standStill(400);
    await sleep(3 * timeoutMilliseconds);
    t.true(isRead);
    t.false(hasTimedOut);
  },
);

test.serial('silence that goes on after a pause is detected', async t => {
  const timedOut = new Promise<string>(resolve => {
    new PauseAwareTimeout(timeoutMilliseconds, () => resolve('timed out'));
  });
  standStill(400);
  const result = await Promise.race([
    timedOut,
    sleep(2000).then(() => 'waiting'),
  ]);
  t.is(result, 'timed out');
});

test.serial(
  'a timeout that is restarted or cleared does not end early',
  async t => {
    let timeouts = 0;
    const timeout = new PauseAwareTimeout(80, () => (timeouts += 1));
    for (let restart = 0; restart < 5; restart += 1) {
      await sleep(30);
      timeout.restart();
    }
    t.is(timeouts, 0);
    timeout.clear();
    await sleep(200);
    t.is(timeouts, 0);
  },
);

test.serial(
  'a process that stands still again and again times out',
  async t => {
    let hasTimedOut = false;
    new PauseAwareTimeout(timeoutMilliseconds, () => (hasTimedOut = true));
    for (let pause = 0; pause < 4; pause += 1) {
      standStill(300);
      await sleep(0);
    }
    t.true(hasTimedOut);
  },
);
