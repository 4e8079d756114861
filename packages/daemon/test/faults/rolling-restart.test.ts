import {hostId} from '@persimmonwick/coordination';
import type {CallerResult} from '@persimmonwick/standins';
import test from 'ava';
import {FaultRun, countAnswers, pause} from '../tools/fault-run.js';

const senders = 9;
const fullRoundMilliseconds = 500;

/** Sends to the daemons that `open` holds until `isEnding`. */
async function send(
  run: FaultRun,
  number: number,
  open: ReadonlySet<number>,
  isEnding: () => boolean,
): Promise<CallerResult[]> {
  const results: CallerResult[] = [];
  for (let round = number; !isEnding(); round += 1) {
    const choices = [...open];
    const index = choices[round % choices.length]!;
    results.push(
      round % 3 === 0
        ? await run.release(index, `release-${number}-${round}`)
        : await run.stream(index, 60, round % 2 ? 'batinah' : 'lembaga'),
    );
  }
  return results;
}

test.serial('rolling restart cuts nothing', async t => {
  const run = await FaultRun.start(t);
  const open = new Set(run.daemons.keys());
  let isEnding = false;
  const load = Array.from({length: senders}, (_, number) =>
    send(run, number, open, () => isEnding),
  );
  for (const [index, daemon] of run.daemons.entries()) {
    await pause(fullRoundMilliseconds);
    open.delete(index);
    run.group.recorder.record({
      kind: 'drain-started',
      host: hostId(daemon.name),
    });
    daemon.signal('SIGTERM');
    t.is(await daemon.waitForExit(), 0);
    daemon.start();
    await daemon.waitUntilReady();
    open.add(index);
  }
  isEnding = true;
  const results = (await Promise.all(load)).flat();
  t.log(countAnswers(results));
  t.is(countAnswers(results)['cut'], undefined);
  t.true(
    results.every(
      ({answer}) => answer.kind !== 'failed' || answer.ran === 'not-run',
    ),
  );
  await run.check();
});
