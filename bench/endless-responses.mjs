/**
 * Measures one host, a process of its own, while servers respond without an end:
 * peak of the resident set, processor time, and the calls of other callers.
 *
 *     node bench/endless-responses.mjs fault=endless-body callers=80 pace=slow
 *
 * `fault` is a fault of the stand-in servers, `pace` of the callers is `fast`, `slow` or
 * `none` (they never read). Other arguments: `route` (`releases`, `orders`, `drafts` or
 * `reviews`), `faulty` and `sound` (servers behind the route), `timeout`
 * (milliseconds) and `program` (path of the bundle).
 */

import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {connect} from 'node:net';
import {once} from 'node:events';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {clearInterval, setInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Worker} from 'node:worker_threads';
import {FakeServer} from '../platform/dist/src/standins/fake-server.js';
import {
  HostProcess,
  findHostAddresses,
} from '../platform/dist/src/standins/planned-work/host-process.js';
import {
  callHost,
  generationHeaders,
} from '../platform/dist/src/standins/sample-caller.js';
import {
  firstKey,
  sampleHostName,
} from '../platform/dist/src/standins/sample-site.js';
import {wireHeaders} from '../platform/dist/src/wire-names.js';

const values = Object.fromEntries(
  process.argv.slice(2).map(argument => argument.split('=')),
);
const number = (name, fallback) => Number(values[name] ?? fallback);
const fault = values.fault ?? 'endless-body';
const route = values.route ?? 'releases';
const pace = values.pace ?? 'slow';
const callers = number('callers', 80);
const timeoutMilliseconds = number('timeout', 5000);

const slowReadMilliseconds = 500;
const sampleMilliseconds = 20;
const otherCallMilliseconds = 200;
const lateOtherCallMilliseconds = 4500;
const settleMilliseconds = 1000;
/** Of the clock of `/proc/PID/stat`. */
const ticksPerSecond = 100;

const statusOf = (id, name) =>
  Number(
    new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(
      readFileSync(`/proc/${id}/status`, 'utf8'),
    )?.[1],
  ) / 1024;

function processorSeconds(id) {
  const text = readFileSync(`/proc/${id}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function requestText(index) {
  const isGeneration = route === 'drafts' || route === 'reviews';
  const headers = {
    Host: sampleHostName,
    [wireHeaders.requestId]: `endless-${index}`,
    [wireHeaders.authorization]: `Bearer ${firstKey}`,
    'Content-Length': '4',
    ...(isGeneration && generationHeaders),
  };
  const lines = Object.entries(headers).map(each => each.join(': '));
  return [`POST /${route}/a HTTP/1.1`, ...lines, '', 'text'].join('\r\n');
}

/** Sends a call; resolves with the status line once its connection has closed. */
async function callEndlessly(address, index) {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port)});
  socket.on('error', () => undefined);
  const call = {status: '', socket};
  const note = bytes => (call.status ||= String(bytes).slice(9, 12));
  socket.write(requestText(index));
  if (pace === 'none') socket.pause();
  else
    socket.on('data', bytes => {
      note(bytes);
      if (pace === 'fast') return;
      socket.pause();
      setTimeout(() => socket.resume(), slowReadMilliseconds);
    });
  await Promise.race([once(socket, 'close').catch(() => undefined), ended]);
  return call;
}

async function callOther(address) {
  const startedAt = performance.now();
  const signal = AbortSignal.timeout(lateOtherCallMilliseconds);
  const isServed = await callHost(address, '/other/a', {signal}).then(
    ({status}) => status === 200,
    () => false,
  );
  return {isServed, milliseconds: performance.now() - startedAt};
}

// In this thread, so that the faulty servers don't delay it.
const otherServer = new FakeServer({
  id: 'other-1',
  service: 'other',
  zone: 'zone-a',
});
await otherServer.start();
const servers = new Worker(
  new URL('endless-responses/servers.mjs', import.meta.url),
  {
    workerData: {
      fault,
      faultyServers: number('faulty', 1),
      soundServers: number('sound', 0),
      timeoutMilliseconds,
      other: {id: 'other-1', entry: otherServer.storeEntry()},
    },
  },
);
const [store] = await once(servers, 'message');
const report = async () => {
  servers.postMessage('report');
  return (await once(servers, 'message'))[0];
};
const folder = mkdtempSync(join(tmpdir(), 'endless-'));
const logPath = join(folder, 'host.log');
const addresses = await findHostAddresses(1);
const host = new HostProcess({
  name: 'host-1',
  program:
    values.program ??
    fileURLToPath(new URL('../target/persimmonwick.mjs', import.meta.url)),
  settingsPath: join(folder, 'settings.toml'),
  addresses,
  seeds: [],
  store,
  output: {kind: 'file', path: logPath},
});
host.writeSettings({});
host.start();
await host.waitUntilReady();
await sleep(settleMilliseconds);
const {processId} = host;
for (let call = 0; call < 20; call += 1) await callOther(addresses.front);
const residentBefore = statusOf(processId, 'VmRSS');
const secondsBefore = processorSeconds(processId);
let residentPeak = residentBefore;
const sampling = setInterval(() => {
  if (host.isRunning)
    residentPeak = Math.max(residentPeak, statusOf(processId, 'VmRSS'));
}, sampleMilliseconds);

let end;
const ended = new Promise(resolve => (end = resolve));
const endless = Array.from({length: callers}, (_, index) =>
  callEndlessly(addresses.front, index),
);
const others = [];
const endsAt = performance.now() + timeoutMilliseconds;
while (performance.now() < endsAt) {
  others.push(callOther(addresses.front));
  await sleep(otherCallMilliseconds);
}
const results = await Promise.all(others);
await sleep(settleMilliseconds);
const atDeadline = await report();
await sleep(settleMilliseconds);
const afterwards = await report();
clearInterval(sampling);
const isRunning = host.isRunning;
const seconds = isRunning ? processorSeconds(processId) - secondsBefore : NaN;
await host.close();
end();
const ends = {};
for (const {status, socket} of await Promise.all(endless)) {
  ends[status || 'cut'] = (ends[status || 'cut'] ?? 0) + 1;
  socket.destroy();
}
const events = {};
for (const line of readFileSync(logPath, 'utf8').split('\n')) {
  const name = /"event":(\d+)/.exec(line)?.[1];
  if (['1008', '1010', '3140'].includes(name))
    events[name] = (events[name] ?? 0) + 1;
}
const times = results.map(({milliseconds}) => milliseconds);
console.log(
  JSON.stringify({
    fault,
    route,
    pace,
    callers,
    faulty: number('faulty', 1),
    megabytes: [Math.round(residentBefore), Math.round(residentPeak)],
    processorSeconds: Number(seconds.toFixed(1)),
    served: `${results.filter(({isServed}) => isServed).length} of ${results.length}`,
    slowestMilliseconds: Math.round(Math.max(...times)),
    medianMilliseconds: Math.round(
      times.sort((a, b) => a - b)[Math.floor(times.length / 2)],
    ),
    sentMegabytes: Math.round(atDeadline.endlessBytes / 2 ** 20),
    sentLaterMegabytes: Math.round(
      (afterwards.endlessBytes - atDeadline.endlessBytes) / 2 ** 20,
    ),
    executed: [afterwards.faulty, afterwards.sound],
    ends,
    events,
    isRunning,
  }),
);
await otherServer.close();
servers.postMessage('close');
rmSync(folder, {recursive: true});
if (!isRunning) process.exitCode = 1;
