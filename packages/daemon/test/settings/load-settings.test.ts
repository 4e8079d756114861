import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {loadSettings, startDaemon} from '../../src/index.js';
import {StartError} from '../../src/index.js';
import {RecordingLog} from '../tools/recording-log.js';

const validSettings = `
host: north-1
failureDomain: north
listen: {callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}
platform: {addresses: ['127.0.0.1:1']}
peerSecurity: {kind: plain}
`;

function makeDirectory(t: ExecutionContext): string {
  const directory = mkdtempSync(join(tmpdir(), 'settings-'));
  t.teardown(() => rmSync(directory, {recursive: true}));
  return directory;
}

function loadFaults(
  t: ExecutionContext,
  text: string,
  environment: Record<string, string> = {},
) {
  const file = join(makeDirectory(t), 'settings.yaml');
  writeFileSync(file, text);
  const loaded = loadSettings(file, environment);
  return loaded.isErr ? loaded.error : [];
}

test('an override replaces a value of a valid file', t => {
  const file = join(makeDirectory(t), 'settings.yaml');
  writeFileSync(file, validSettings);
  const loaded = loadSettings(file, {
    PERSIMMONWICK_listen__callers: '127.0.0.1:8080',
    PERSIMMONWICK_limits__drainMilliseconds: '700',
  });
  if (loaded.isErr) return t.fail(JSON.stringify(loaded.error));
  t.is(loaded.value.listen.callers, '127.0.0.1:8080');
  t.is(loaded.value.limits.drainMilliseconds, 700);
  t.is(loaded.value.limits.queuedRequests, 2000);
});

test('an empty file is rejected', t => {
  t.is(loadFaults(t, '')[0]!.expected, 'an object with settings');
});

test('a directory and a missing file are rejected', t => {
  const directory = makeDirectory(t);
  for (const [file, code] of [
    [directory, 'EISDIR'],
    [join(directory, 'none'), 'ENOENT'],
  ] as const) {
    const loaded = loadSettings(file, {});
    t.true(loaded.isErr && loaded.error[0]!.value.includes(code));
  }
});

test('duplicate keys are rejected', t => {
  const [fault] = loadFaults(t, `${validSettings}\nhost: north-2\n`);
  t.regex(fault!.value, /unique/);
});

test('a wrong value is rejected', t => {
  const [fault] = loadFaults(
    t,
    `${validSettings}\nlimits: {bodyBytes: many}\n`,
  );
  t.is(fault!.path, '/limits/bodyBytes');
  t.is(fault!.value, '"many"');
});

test('an unknown override is rejected', t => {
  const [fault] = loadFaults(t, validSettings, {
    PERSIMMONWICK_limits__bodyByte: '1',
  });
  t.is(fault!.path, '/limits');
  t.true(fault!.expected.includes('bodyByte'));
});

test('an override with malformed YAML is rejected', t => {
  const [fault] = loadFaults(t, validSettings, {PERSIMMONWICK_host: '{a: 1'});
  t.is(fault!.path, '/host');
});

test('plain connections between hosts outside loopback are rejected', t => {
  const faults = loadFaults(t, validSettings, {
    PERSIMMONWICK_listen__peers: '10.0.0.1:7000',
  });
  t.is(faults[0]!.path, '/peerSecurity/kind');
});

test('missing TLS files are reported before any port opens', async t => {
  const directory = makeDirectory(t);
  const file = join(directory, 'settings.yaml');
  writeFileSync(
    file,
    validSettings.replace(
      '{kind: plain}',
      `
  kind: mutual-tls
  certificateFile: ${directory}/none.pem
  keyFile: ${directory}/none.key
  authorityFile: ${directory}`,
    ),
  );
  const loaded = loadSettings(file, {});
  if (loaded.isErr) return t.fail(JSON.stringify(loaded.error));
  const log = new RecordingLog();
  const started = startDaemon(loaded.value, log);
  const error = await t.throwsAsync(started, {instanceOf: StartError});
  t.deepEqual(
    error!.faults.map(({path}) => path),
    [
      '/peerSecurity/certificateFile',
      '/peerSecurity/keyFile',
      '/peerSecurity/authorityFile',
    ],
  );
  t.deepEqual(log.events, []);
});
