import test from 'ava';
import {runClaimsExample} from '../examples/claims.js';
import {runLeasesExample} from '../examples/leases.js';

test('claims example', async t => {
  t.deepEqual(await runClaimsExample(), ['run', 'replay: status 201']);
});

test('leases example', async t => {
  t.deepEqual(await runLeasesExample(), [
    'first host: held',
    'second host: not-granted',
    'after the release: held under a higher number',
  ]);
});
