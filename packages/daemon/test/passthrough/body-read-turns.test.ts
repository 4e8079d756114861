import {once} from 'node:events';
import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import {Result} from 'true-myth';
import {BodyReadTurns} from '../../src/connections/body-read-turns.js';
import {openRawConnection} from '../tools/raw-connection.js';
import {openRoute, startServer} from '../tools/run-passthrough-server.js';

const callers = 12;
const bodyBytes = 4_000_000;
const longMilliseconds = 100;

test('a body that took long waits until others were read', async t => {
  const turns = new BodyReadTurns();
  const order: string[] = [];
  const open = (name: string) => {
    const share = turns.open(() => {
      order.push(name);
      t.true(share.take());
    });
    return share;
  };
  const [first, second] = [open('first'), open('second')];
  t.true(first.take());
  first.record(longMilliseconds);
  t.false(first.take());
  second.record(longMilliseconds);
  t.false(second.take());
  await setImmediate();
  t.deepEqual(order, ['first', 'second']);
  t.true(open('new').take());
});

test('the size of reads follows the time that they take', t => {
  const share = new BodyReadTurns().open(() => undefined);
  for (let count = 0; count < 10; count += 1) share.record(longMilliseconds);
  t.is(share.readBytes, 1024);
  for (let count = 0; count < 10; count += 1) share.record(0);
  t.is(share.readBytes, 64 * 1024);
});

test('bodies that take turns are received', async t => {
  const lengths: number[] = [];
  const {address} = await startServer(
    t,
    {
      authorize: () => openRoute,
      forward: (_call, _routing, body) => {
        lengths.push(body.length);
        return Promise.resolve(
          Result.ok({status: 200, headers: [], body: []} as never),
        );
      },
    },
    undefined,
    bodyBytes,
  );
  const head = `POST / HTTP/1.1\r\nHost: x\r\nContent-Length: ${bodyBytes}\r\n\r\n`;
  const text = head + 'x'.repeat(bodyBytes);
  const sockets = Array.from({length: callers}, () => {
    const {socket} = openRawConnection(t, address);
    socket.write(text);
    return socket;
  });
  await Promise.all(sockets.map(socket => once(socket, 'data')));
  t.deepEqual(lengths, new Array<number>(callers).fill(bodyBytes));
});
