import test from 'ava';
import {
  InterruptedResponseError,
  upstreamId,
} from '@persimmonwick/coordination';
import {ResponseBody} from '../../src/connections/response-body.js';

const bytesAbovePauseThreshold = 80 * 1024;
const idleTimeoutMilliseconds = 30;

function createBody() {
  const calls: string[] = [];
  const body = new ResponseBody({
    upstream: upstreamId('engine-1'),
    pause: () => calls.push('pause'),
    resume: () => calls.push('resume'),
    cancel: () => calls.push('cancel'),
    idleTimeoutMilliseconds,
  });
  return {body, calls};
}

const sleep = (milliseconds: number) =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

test('an upstream that goes silent right after it was resumed is detected', async t => {
  const {body, calls} = createBody();
  body.push(Buffer.alloc(bytesAbovePauseThreshold));
  await sleep(3 * idleTimeoutMilliseconds);
  const reader = body[Symbol.asyncIterator]();
  await reader.next();
  t.deepEqual(calls, ['pause', 'resume']);
  const end = reader.next().then(
    () => 'value',
    error => error as unknown,
  );
  const outcome = await Promise.race([
    end,
    sleep(40 * idleTimeoutMilliseconds).then(() => 'still waiting'),
  ]);
  t.true(outcome instanceof InterruptedResponseError, String(outcome));
  t.is((outcome as InterruptedResponseError).reason, 'silent');
  t.is(calls.at(-1), 'cancel');
});

test('a reader that pauses the upstream for long does not end its response', async t => {
  const {body, calls} = createBody();
  body.push(Buffer.alloc(bytesAbovePauseThreshold));
  await sleep(3 * idleTimeoutMilliseconds);
  const reader = body[Symbol.asyncIterator]();
  await reader.next();
  body.push(Buffer.from('rest'));
  body.finish();
  t.is(Buffer.from((await reader.next()).value ?? '').toString(), 'rest');
  t.true((await reader.next()).done);
  t.false(calls.includes('cancel'));
});
