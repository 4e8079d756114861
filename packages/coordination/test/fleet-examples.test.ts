import test from 'ava';
import {runConfigurationExample} from '../examples/configuration.js';
import {runFleetExample} from '../examples/fleet.js';
import {runOwnershipExample} from '../examples/ownership.js';
import {KeyWithdrawnError} from '../src/index.js';

test('configuration example', async t => {
  const {versions, reason} = await runConfigurationExample();
  t.deepEqual(versions, [2n, 2n]);
  t.true(reason instanceof KeyWithdrawnError);
});

test('fleet example', async t => {
  t.deepEqual(await runFleetExample(), {before: true, after: false});
});

test('ownership example', async t => {
  t.deepEqual(await runOwnershipExample(), ['wanted']);
});
