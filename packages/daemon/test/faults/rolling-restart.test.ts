import {hostId} from '@persimmonwick/coordination';
import type {CallerResult} from '@persimmonwick/standins';
import test from 'ava';
import {FaultRun, countOutcomes, sleep} from '../tools/fault-run.js';

const clientCount = 9;
const loadMilliseconds = 500;

/** Sends requests to the available daemons in turn until `isEnding`. */
async function sendRequests(
  run: FaultRun,
  clientIndex: number,
  available: ReadonlySet<number>,
  isEnding: () => boolean,
): Promise<CallerResult[]> {
  const results: CallerResult[] = [];
  for (let round = clientIndex; !isEnding(); round += 1) {
    const indexes = [...available];
    const index = indexes[round % indexes.length]!;
    results.push(
      round % 3 === 0
        ? await run.callAtMostOnce(index, `release-${clientIndex}-${round}`)
        : await run.streamWithRetries(
            index,
            60,
            round % 2 ? 'batinah' : 'lembaga',
          ),
    );
  }
  return results;
}

test.serial('rolling restart interrupts no request', async t => {
  const run = await FaultRun.start(t);
  const available = new Set(run.daemons.keys());
  let isEnding = false;
  const load = Array.from({length: clientCount}, (_, clientIndex) =>
    sendRequests(run, clientIndex, available, () => isEnding),
  );
  for (const [index, daemon] of run.daemons.entries()) {
    await sleep(loadMilliseconds);
    available.delete(index);
    run.group.recorder.record({
      kind: 'drain-started',
      host: hostId(daemon.name),
    });
    daemon.signal('SIGTERM');
    t.is(await daemon.waitForExit(), 0);
    daemon.start();
    await daemon.waitUntilReady();
    available.add(index);
  }
  isEnding = true;
  const results = (await Promise.all(load)).flat();
  t.log(countOutcomes(results));
  t.is(countOutcomes(results)['cut'], undefined);
  t.true(
    results.every(
      ({answer}) => answer.kind !== 'failed' || answer.ran === 'not-run',
    ),
  );
  await run.checkInvariants();
});
