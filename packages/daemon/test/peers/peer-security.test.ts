import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {loadPeerSecurity} from '../../src/index.js';
import {createAuthority} from '../tools/certificates.js';

async function writeFiles(t: ExecutionContext, commonName: string) {
  const directory = mkdtempSync(join(tmpdir(), 'tls-'));
  t.teardown(() => rmSync(directory, {recursive: true}));
  const security = await (await createAuthority()).issue(commonName);
  if (security.kind === 'plain') throw new TypeError('expected certificates');
  const write = (name: string, content: Buffer) => {
    writeFileSync(join(directory, name), content);
    return join(directory, name);
  };
  return {
    kind: 'mutual-tls' as const,
    certificateFile: write('own.pem', security.certificate),
    keyFile: write('own.key', security.key),
    authorityFile: write('authority.pem', security.authority),
  };
}

test('certificate of this host', async t => {
  const peerSecurity = await writeFiles(t, 'north-1');
  t.true(loadPeerSecurity({host: 'north-1', peerSecurity}).isOk);
});

test('certificate of another host', async t => {
  const peerSecurity = await writeFiles(t, 'south-1');
  const loaded = loadPeerSecurity({host: 'north-1', peerSecurity});
  t.is(loaded.isErr && loaded.error[0]!.value, 'CN=south-1');
});

test('key in place of the certificate', async t => {
  const files = await writeFiles(t, 'north-1');
  const peerSecurity = {...files, certificateFile: files.keyFile};
  const loaded = loadPeerSecurity({host: 'north-1', peerSecurity});
  t.is(loaded.isErr && loaded.error[0]!.path, '/peerSecurity/certificateFile');
});

test('key of another certificate', async t => {
  const files = await writeFiles(t, 'north-1');
  const {keyFile} = await writeFiles(t, 'north-1');
  const peerSecurity = {...files, keyFile};
  const loaded = loadPeerSecurity({host: 'north-1', peerSecurity});
  t.is(loaded.isErr && loaded.error[0]!.path, '/peerSecurity/keyFile');
});

test('authority that is not a certificate', async t => {
  const files = await writeFiles(t, 'north-1');
  const peerSecurity = {...files, authorityFile: files.keyFile};
  const loaded = loadPeerSecurity({host: 'north-1', peerSecurity});
  t.is(loaded.isErr && loaded.error[0]!.path, '/peerSecurity/authorityFile');
});
