import test from 'ava';
import {ChunkQueue} from '../src/passthrough/chunk-queue.js';
import {seededRandom} from '../src/random.js';

test('small chunks are joined', t => {
  const queue = new ChunkQueue();
  for (let count = 0; count < 100; count += 1) queue.push(Buffer.from('x'));
  t.is(queue.length, 100);
  t.is(queue.shift()?.length, 100);
  t.is(queue.shift(), undefined);
  t.is(queue.length, 0);
});

test('a small chunk that is read at once is not copied', t => {
  const queue = new ChunkQueue();
  const chunk = Buffer.from('event');
  queue.push(chunk);
  t.is(queue.shift(), chunk);
});

test('bytes keep their order for any sizes of chunks', t => {
  const random = seededRandom(1);
  const queue = new ChunkQueue();
  const pushed: Buffer[] = [];
  const shifted: Uint8Array[] = [];
  for (let count = 0; count < 2000; count += 1) {
    const size = Math.floor(3000 * random.next() ** 4) + 1;
    const chunk = Buffer.alloc(size, count % 256);
    pushed.push(chunk);
    queue.push(chunk);
    const next = random.next() < 0.3 ? queue.shift() : undefined;
    if (next !== undefined) shifted.push(next);
  }
  for (let next = queue.shift(); next !== undefined; next = queue.shift())
    shifted.push(next);
  t.deepEqual(Buffer.concat(shifted), Buffer.concat(pushed));
  t.is(queue.length, 0);
});
