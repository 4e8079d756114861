import {Writable} from 'node:stream';
import test from 'ava';
import {BoundedOutput} from '../../src/log/bounded-output.js';

const line = 'x'.repeat(1000);

/** A stream whose reader accepts nothing until `flow` is called. */
class StalledStream extends Writable {
  readonly lines: string[] = [];
  private pending: (() => void) | undefined;
  private isFlowing = false;

  override _write(chunk: Buffer, _: string, done: () => void): void {
    this.lines.push(chunk.toString());
    if (this.isFlowing) done();
    else this.pending = done;
  }

  flow(): void {
    this.isFlowing = true;
    this.pending?.();
  }
}

test('a stalled reader does not grow the buffer beyond its limit', t => {
  const stream = new StalledStream();
  const output = new BoundedOutput(stream);
  for (let count = 0; count < 5000; count += 1) output.write(line, false);
  t.true(stream.writableLength < 300_000);
  t.true(output.droppedLines > 4000);
});

test('important lines have a higher limit', t => {
  const output = new BoundedOutput(new StalledStream());
  for (let count = 0; count < 1000; count += 1) output.write(line, false);
  t.true(output.droppedLines > 0);
  for (let count = 0; count < 100; count += 1) output.write(line, true);
  t.is(
    output.droppedLines,
    0,
    'the first important line reports the dropped lines',
  );
  for (let count = 0; count < 1000; count += 1) output.write(line, true);
  t.true(output.droppedLines > 0);
});

test('dropped lines are reported when the reader resumes', async t => {
  const stream = new StalledStream();
  const output = new BoundedOutput(stream);
  for (let count = 0; count < 1000; count += 1) output.write(line, false);
  const dropped = output.droppedLines;
  stream.flow();
  await new Promise(resolve => setImmediate(resolve));
  output.write('next', false);
  await new Promise(resolve => setImmediate(resolve));
  const notice = stream.lines.find(each => each.includes('dropped'));
  t.is(JSON.parse(notice!).dropped, dropped);
  t.is(output.droppedLines, 0);
});

test('a closed reader does not terminate the process', async t => {
  const stream = new StalledStream();
  const output = new BoundedOutput(stream);
  stream.destroy(new RangeError('closed'));
  await new Promise(resolve => setImmediate(resolve));
  for (let count = 0; count < 1000; count += 1) output.write(line, true);
  t.is(output.droppedLines, 0);
});

// Against: a full disk ends the process.
test('lines that can not be written are dropped, and reported once they can', t => {
  const lines: string[] = [];
  let isFull = true;
  const output = new BoundedOutput({
    writableLength: 0,
    write: text => {
      if (isFull) throw new RangeError('no space left');
      lines.push(text);
    },
    on: () => undefined,
  });
  for (let count = 0; count < 10; count += 1) output.write(line, true);
  t.is(output.droppedLines, 10);
  isFull = false;
  output.write(line, true);
  t.is(JSON.parse(lines[0]!).dropped, 10);
  t.is(lines[1], `${line}\n`);
  t.is(output.droppedLines, 0);
});
