import test from 'ava';
import {InterruptedResponseError} from '../src/passthrough/call.js';
import {bufferResponse} from '../src/passthrough/buffered-response.js';
import {UpstreamHealth} from '../src/passthrough/upstream-health.js';
import type {TrackedUpstream} from '../src/passthrough/upstream-table.js';
import {VirtualClock} from '../src/simulation/virtual-clock.js';
import {upstreamId} from '../src/ids.js';

const part = Buffer.alloc(700_000);

/** Reads a response of two parts that ends with `reason`, or whole. */
async function readResponse(
  reason: InterruptedResponseError['reason'] | undefined,
  callerMilliseconds = 0,
) {
  const clock = new VirtualClock();
  const health = new UpstreamHealth();
  // Half of the weight of the failure is left after a success.
  health.recordFailure(clock.now());
  const before = health.failureShare(clock.now());
  async function* bodyOf() {
    yield part;
    yield part;
    await Promise.resolve();
    if (reason !== undefined)
      throw new InterruptedResponseError(upstreamId('s-1'), reason);
  }
  const upstream = {health, document: {name: 's-1'}} as TrackedUpstream;
  const buffered = await bufferResponse(
    {status: 200, headers: [], body: bodyOf()},
    upstream,
    clock,
    10_000,
  );
  let bytes = 0;
  let error: unknown;
  try {
    if (buffered.isErr) throw new RangeError(buffered.error.kind);
    for await (const chunk of buffered.value.body) {
      bytes += chunk.length;
      await clock.advance(callerMilliseconds);
    }
  } catch (caught) {
    error = caught;
  }
  const change = health.failureShare(0) - before;
  return {bytes, error, change};
}

test('a long response that ends whole counts as a success', async t => {
  const {bytes, error, change} = await readResponse(undefined);
  t.is(bytes, 2 * part.length);
  t.is(error, undefined);
  t.true(change < 0);
});

test('a long response that is broken counts as a failure', async t => {
  const {error, change} = await readResponse('broken', 100);
  t.true(error instanceof InterruptedResponseError);
  t.true(change > 0);
});

test('a long response without an end counts as a failure', async t => {
  t.true((await readResponse('silent')).change > 0);
});

test('a long response to a slow caller says nothing at its deadline', async t => {
  t.is((await readResponse('silent', 100)).change, 0);
});

test('a long response whose caller leaves says nothing', async t => {
  t.is((await readResponse('cancelled')).change, 0);
});
