import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import type {ExecutionContext} from 'ava';

const mainFile = fileURLToPath(new URL('../src/main.js', import.meta.url));

function startProcess(t: ExecutionContext, settings: string) {
  const directory = mkdtempSync(join(tmpdir(), 'daemon-'));
  const file = join(directory, 'settings.yaml');
  writeFileSync(file, settings);
  const child = spawn(process.execPath, [mainFile, '--settings', file]);
  t.teardown(() => {
    child.kill('SIGKILL');
    rmSync(directory, {recursive: true});
  });
  let output = '';
  let errors = '';
  const started = new Promise<void>(resolve =>
    child.stdout.on('data', chunk => {
      output += String(chunk);
      if (output.includes('daemonStarted')) resolve();
    }),
  );
  child.stderr.on('data', chunk => (errors += String(chunk)));
  const exited = new Promise<{status: number | null; errors: string}>(resolve =>
    child.on('close', status => resolve({status, errors})),
  );
  return {child, started, exited, output: () => output};
}

const createSettings = (callers: string) => `
host: north-1
failureDomain: north
listen: {callers: '${callers}', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}
platform: {addresses: ['127.0.0.1:1']}
peerSecurity: {kind: plain}
`;

test('SIGTERM stops the daemon gracefully', async t => {
  const daemon = startProcess(t, createSettings('127.0.0.1:0'));
  await daemon.started;
  daemon.child.kill('SIGTERM');
  t.is((await daemon.exited).status, 0);
  t.true(daemon.output().includes('daemonStopped'));
});

test('invalid settings exit with status 2', async t => {
  const daemon = startProcess(
    t,
    `${createSettings('127.0.0.1:0')}nonsense: 1\n`,
  );
  const {status, errors} = await daemon.exited;
  t.is(status, 2);
  t.true(errors.includes('nonsense'));
  t.is(daemon.output(), '');
});

test('an address in use exits with status 2', async t => {
  const server = createServer();
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  t.teardown(() => server.close());
  const {port} = server.address() as AddressInfo;
  const daemon = startProcess(t, createSettings(`127.0.0.1:${port}`));
  const {status, errors} = await daemon.exited;
  t.is(status, 2);
  t.true(errors.includes('/listen/callers'));
  t.true(errors.includes('EADDRINUSE'));
});
