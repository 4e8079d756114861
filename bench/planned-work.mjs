/**
 * Stops, reconfigures and restarts hosts that are real processes while callers use
 * kept connections, and compares what callers saw with what servers received. Exits
 * with 1 if a request was lost, ran twice or ran although it was refused, or if a host
 * ended that was not stopped.
 *
 *     node bench/planned-work.mjs seed=1 seconds=25 callers=60 hosts=3 work=stops
 *
 * `work` is a list of stops, pairs, early-stops, young-hosts, repeated-stops,
 * early-settings, settings, configurations, freezes and engine-failures, or `none`, or `all`, which
 * leaves out early-settings, freezes and engine-failures. While engines fail, only resumable
 * streams are whole: `habits=resumable,take-up`. Other arguments: `habits` (a list of
 * the habits of callers) or `without` (such a list to leave out), `program` (path of
 * the bundle), `output` (`discarded`, `unread` or `file`) and `folder` (for the files),
 * `streams` (`even`, `uneven`, `rare-long`, `long-in-stops`, `beyond-grace` or `silent`),
 * `engine-delay` (of reservations and prefills), `server-work`, `idle-timeout`, `pause`
 * and `server-idle` (milliseconds), `grace` (seconds), `server-requests` (requests after which servers close a connection at its
 * next use), `slots` (streams that an engine runs at a time) and `stranded` (number of
 * hosts that reach no server).
 *
 * Streams that end late in a stop: `streams=long-in-stops slots=40 work=young-hosts
 * habits=late-chunks,late-chunks,late-piece,first-host`. Bodies of late-chunks and
 * late-piece end up to 4 s after their heads; stream-behind-stream sends the next
 * stream while one is under way, or as it ends. These and first-host return to their
 * first host as soon as it takes connections. Streams that the end of the grace
 * period cut are printed as cut, not as lost, if they were sent no later than 3 s after
 * the SIGTERM, and do not change the exit status.
 *
 * Requests behind streams that outlive the grace period: `streams=beyond-grace slots=40
 * habits=one-behind,behind-later,two-behind,behind-announcement`. They are written up to
 * 5 s behind a stream, one or two with one write. Requests that their host had not read
 * when it ended the connection are printed as unread, and do not change the exit status.
 *
 * Streams that are silent until another engine is sought, and go on: `streams=silent
 * habits=resumable slots=40 prefill=700`. `silence` is the length of the silence
 * (milliseconds, 1800) and `silent-part` the part of the streams that have one (1). A
 * prefill takes `prefill` milliseconds, and the part `refused-resumptions` (0) of the
 * runs that resume a stream is refused although the reservation was granted. A stream
 * that its host cuts is printed as lost, also without any work: `work=none`.
 */

import {fileURLToPath} from 'node:url';
import {
  PlannedWorkRun,
  callerHabits,
  describeCut,
  describeFinding,
  describeUnread,
  plannedKinds,
  streamKinds,
  workKinds,
} from '../platform/dist/src/standins/planned-work/index.js';

const values = Object.fromEntries(
  process.argv.slice(2).map(argument => argument.split('=')),
);
const listOf = (value, all) => {
  if (value === undefined) return [...all];
  const list = value.split(',');
  const unknown = list.filter(each => !all.includes(each));
  if (unknown.length > 0) throw new RangeError(`unknown: ${unknown}`);
  return list;
};
const oneOf = (value, all) => {
  if (!all.includes(value)) throw new RangeError(`unknown: ${value}`);
  return value;
};
const workOf = value => {
  if (value === 'none') return [];
  return value === 'all' ? plannedKinds : listOf(value, workKinds);
};
const number = (name, fallback) => Number(values[name] ?? fallback);
const left = listOf(values.without ?? '', ['', ...callerHabits]);

const run = new PlannedWorkRun({
  seed: number('seed', 1),
  seconds: number('seconds', 25),
  callers: number('callers', 60),
  hosts: number('hosts', 3),
  work: workOf(values.work ?? 'stops'),
  habits: listOf(values.habits, callerHabits).filter(
    habit => !left.includes(habit),
  ),
  program:
    values.program ??
    fileURLToPath(new URL('../target/persimmonwick.mjs', import.meta.url)),
  output: values.output ?? (values.folder === undefined ? 'discarded' : 'file'),
  folder: values.folder,
  serverWork: {
    workMilliseconds: number('server-work', 60),
    streams: oneOf(values.streams ?? 'even', streamKinds),
    engineDelayMilliseconds: number('engine-delay', 0),
    slots: number('slots', 8),
    silences: {
      milliseconds: number('silence', 1800),
      part: number('silent-part', 1),
    },
    ...(values.prefill !== undefined && {
      prefillMilliseconds: number('prefill'),
    }),
    refusedResumptionPart: number('refused-resumptions', 0),
  },
  idleTimeoutMilliseconds: number('idle-timeout', 15_000),
  pauseMilliseconds: number('pause', 300),
  graceSeconds: number('grace', 8),
  connectionEnds: {
    ...(values['server-idle'] !== undefined && {
      keepAliveMilliseconds: number('server-idle'),
    }),
    ...(values['server-requests'] !== undefined && {
      requestsPerConnection: number('server-requests'),
    }),
  },
  strandedHosts: number('stranded', 0),
});
const {
  requests,
  requestsByKind,
  outcomes,
  findings,
  cuts,
  unread,
  late,
  work,
  unplannedEnds,
} = await run.run();
for (const finding of findings) console.log(describeFinding(finding));
for (const cut of cuts) console.log(describeCut(cut));
for (const exchange of unread) console.log(describeUnread(exchange));
const counts = {};
console.log(JSON.stringify({requestsByKind}));
for (const {breach, exchange} of findings) {
  const name = `${breach}, ${exchange.kind}`;
  counts[name] = (counts[name] ?? 0) + 1;
}
console.log(JSON.stringify({work, outcomes, unplannedEnds, late, counts}));
const lost = findings.filter(({breach}) => breach === 'lost').length;
console.log(
  `${findings.length} findings, ${lost} lost, ${cuts.length} cut, ${unread.length} unread, ${requests} requests, seed ${values.seed ?? 1}`,
);
process.exitCode = findings.length + unplannedEnds.length > 0 ? 1 : 0;
