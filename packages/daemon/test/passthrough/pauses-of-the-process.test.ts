import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import {standStill} from '../tools/stand-still.js';
import {canConnect} from '../../src/passthrough/can-connect.js';
import {createTransport, serveRaw, upstreamAt} from './transport-tools.js';

/** Longer than the timeout of a connection, and shorter than that of a request. */
const pauseMilliseconds = 290;

/** Ends shortly after the timeout of a request. */
const longPauseMilliseconds = 430;

/** Pauses behind what is begun now, and before expired timers run. */
function pauseSoon(milliseconds: number): void {
  process.nextTick(() => standStill(milliseconds));
}

// Against: the timeout of a connection passes while the process stands still, and runs
// before the connection is seen, so that a sound upstream counts as unreachable.
for (const pause of [pauseMilliseconds, longPauseMilliseconds])
  test.serial(
    `an upstream is reached if the process pauses ${pause} ms while it connects`,
    async t => {
      const port = await serveRaw(t, socket =>
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nr'),
      );
      const {transport} = createTransport(t);
      const {signal} = new AbortController();
      await setImmediate();
      const reservation = transport.reserve(upstreamAt(port), 1, 1000, signal);
      pauseSoon(pause);
      const result = await reservation;
      t.true(result.isOk, JSON.stringify(result));
    },
  );

test.serial(
  'an upstream is reachable if the process pauses while it is probed',
  async t => {
    const port = await serveRaw(t, () => undefined);
    const {signal} = new AbortController();
    await setImmediate();
    const reached = canConnect(`127.0.0.1:${port}`, 200, signal);
    pauseSoon(pauseMilliseconds);
    t.true(await reached);
  },
);
