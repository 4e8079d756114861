import test from 'ava';
import {runConfigurationExample} from '../examples/configuration.js';
import {runFleetExample} from '../examples/fleet.js';
import {runOwnershipExample} from '../examples/ownership.js';
import {KeyWithdrawnError} from '../src/index.js';

test('configuration example: both hosts apply a withdrawal and streams are aborted', async t => {
  const {versions, reason} = await runConfigurationExample();
  t.deepEqual(versions, [2n, 2n]);
  t.true(reason instanceof KeyWithdrawnError);
});

test('fleet example: a stopped host is no longer considered live', async t => {
  t.deepEqual(await runFleetExample(), {before: true, after: false});
});

test('ownership example: a sweep removes all attempts but the owned one', async t => {
  t.deepEqual(await runOwnershipExample(), ['wanted']);
});
