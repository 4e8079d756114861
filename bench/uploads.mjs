/**
 * Measures the processor time and the peak memory of a host of the platform while one
 * caller after the other uploads a body. Host and store are separate processes or
 * parts of this one, on loopback. Argument: the folder of the build, by default this one.
 */
import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {once} from 'node:events';
import {connect} from 'node:net';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {resolve} from 'node:path';

const root = pathToFileURL(`${resolve(process.argv[2] ?? '.')}/`);
const load = path => import(new URL(path, root).href);
const {HostProcess} = await load('platform/dist/test/host-process.js');
const {SampleSite, firstKey, sampleConfiguration, sampleHostName, sampleRoute} =
  await load('platform/dist/src/standins/sample-site.js');
const {wireHeaders} = await load('platform/dist/src/wire-names.js');
const {defaultServers} = await load('platform/dist/test/tools.js');

const limitBytes = 4 * 1024 * 1024;
const clockTicksPerSecond = 100;
const rounds = 5;

function chunked(bodyBytes, chunkBytes) {
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  const text = `${chunk.repeat(bodyBytes / chunkBytes)}0\r\n\r\n`;
  return {framing: 'Transfer-Encoding: chunked', body: Buffer.from(text)};
}

function whole(bodyBytes) {
  const body = Buffer.alloc(bodyBytes, 'x');
  return {framing: `Content-Length: ${bodyBytes}`, body};
}

/** Uploads and how often each is sent in a round. */
const uploads = {
  '4 MiB with a length': [1, whole(limitBytes)],
  '4 MiB in chunks of 1 KiB': [1, chunked(limitBytes, 1024)],
  '256 KiB in chunks of a byte': [1, chunked(256 * 1024, 1)],
  '16 KiB with a length': [500, whole(16 * 1024)],
  '4 bytes with a length': [500, whole(4)],
};

function readUsage(processId) {
  const fields = readFileSync(`/proc/${processId}/stat`, 'utf8')
    .split(') ')
    .at(-1)
    .split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  const [, kilobytes] = /VmHWM:\s+(\d+)/.exec(status);
  return {milliseconds: (ticks * 1000) / clockTicksPerSecond, kilobytes};
}

async function send(address, id, {framing, body}) {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port), noDelay: true});
  const lines = [
    'POST /orders/a HTTP/1.1',
    `Host: ${sampleHostName}`,
    `${wireHeaders.requestId}: ${id}`,
    `${wireHeaders.authorization}: Bearer ${firstKey}`,
    'Connection: close',
    framing,
  ];
  socket.write(
    Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`), body]),
  );
  let text = '';
  socket.on('data', bytes => (text += String(bytes)));
  await once(socket, 'close');
  const status = text.slice(9, 12);
  if (status !== '200') throw new Error(`${id}: ${text.slice(0, 200)}`);
}

const teardowns = [];
const site = new SampleSite();
await site.start(defaultServers);
const {limits} = sampleConfiguration(1);
site.store.put(
  'op/config',
  sampleConfiguration(2, {
    limits: {...limits, max_body_bytes: limitBytes},
    routes: [
      sampleRoute('orders', {
        ...{kind: 'idempotent', service: 'desk', timeout_ms: 30_000},
      }),
    ],
  }),
);
const host = await HostProcess.create(
  {teardown: end => teardowns.push(end)},
  site,
  {
    command: [
      process.execPath,
      '--max-old-space-size=110',
      '--max-semi-space-size=4',
    ],
  },
);
try {
  await host.spawnUntilReady();
  let count = 0;
  for (const [name, [repeats, upload]] of Object.entries(uploads)) {
    const figures = [];
    for (let round = 0; round < rounds; round += 1) {
      const before = readUsage(host.processId);
      for (let repeat = 0; repeat < repeats; repeat += 1)
        await send(host.address, `upload-${(count += 1)}`, upload);
      for (const server of site.servers) server.executed.length = 0;
      const after = readUsage(host.processId);
      figures.push((after.milliseconds - before.milliseconds) / repeats);
    }
    const sorted = figures.toSorted((one, other) => one - other);
    console.log(
      `${name}: median ${sorted[2].toFixed(2)} ms of processor time (${sorted.map(value => value.toFixed(2)).join(', ')})`,
    );
  }
  console.log(
    `peak memory ${Math.round(readUsage(host.processId).kilobytes / 1000)} MB`,
  );
} finally {
  host.signal('SIGKILL');
  for (const end of teardowns) end();
  await site.close();
}
