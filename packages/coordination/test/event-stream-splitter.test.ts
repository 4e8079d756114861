import test from 'ava';
import {EventStreamSplitter} from '@persimmonwick/coordination';

const eventBytes = 1 << 20;

for (const [name, chunk] of Object.entries({
  'a long line': 'x'.repeat(16),
  'short lines': 'x'.repeat(15) + '\n',
}))
  test(`an unfinished event of ${name} in small chunks takes little time`, t => {
    const splitter = new EventStreamSplitter();
    const bytes = Buffer.from(chunk);
    const startedAt = process.cpuUsage();
    for (let size = 0; size < eventBytes; size += bytes.length)
      t.is(splitter.push(bytes).length, 0);
    const {user, system} = process.cpuUsage(startedAt);
    const milliseconds = (user + system) / 1000;
    t.is(splitter.pendingBytes, eventBytes);
    t.throws(() => splitter.push(bytes), {message: /is longer than/});
    t.true(milliseconds < 2500, `${Math.round(milliseconds)} ms`);
  });

test('events that end inside, before and after a chunk are kept apart', t => {
  const chunks = ['id: 1\ndata: a', '\n', '\nid: 2\n', '\r', '\n', '\n\nid: 3'];
  const splitter = new EventStreamSplitter();
  const frames = chunks.flatMap(chunk => splitter.push(Buffer.from(chunk)));
  t.deepEqual(
    frames.map(({bytes}) => Buffer.from(bytes).toString()),
    ['id: 1\ndata: a\n\n', 'id: 2\n\r\n', '\n\n'],
  );
  t.deepEqual(
    frames.map(({hasData}) => hasData),
    [true, false, false],
  );
  t.is(splitter.pendingBytes, 5);
});

test('events keep their bytes while later ones are split', t => {
  const splitter = new EventStreamSplitter();
  splitter.push(Buffer.from('data: fir'));
  const [first] = splitter.push(Buffer.from('st\n\ndata: sec'));
  splitter.push(Buffer.from('ond\n\ndata: third'));
  t.is(Buffer.from(first?.bytes ?? []).toString(), 'data: first\n\n');
});
