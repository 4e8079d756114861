import test from 'ava';
import {runLimiterExample} from '../examples/limiter.js';

test('limiter example', async t => {
  t.deepEqual(await runLimiterExample(), [
    '4000: admitted, 4000 used',
    '4000: rate-exceeded, retry in 3000',
    '1000: admitted, 1000 used',
    '6000: larger-than-burst, retry in 0',
  ]);
});
