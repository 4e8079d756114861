import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Readable} from 'node:stream';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {runCommand} from '../src/index.js';

async function run(args: string[], input = '') {
  const output: string[] = [];
  const errors: string[] = [];
  const status = await runCommand(args, {
    input: Readable.from([input]) as never,
    print: line => output.push(line),
    printError: line => errors.push(line),
    prompt: text => errors.push(text),
  });
  return {status, output: output.join('\n'), errors: errors.join('\n')};
}

function writeFile(t: ExecutionContext, text: string): string {
  const directory = mkdtempSync(join(tmpdir(), 'check-'));
  t.teardown(() => rmSync(directory, {recursive: true}));
  const file = join(directory, 'file.yaml');
  writeFileSync(file, text);
  return file;
}

async function startServer(
  t: ExecutionContext,
  status: number,
  body: unknown,
): Promise<{address: string; requests: string[]}> {
  const requests: string[] = [];
  const server = createServer((request, reply) => {
    requests.push(`${request.method} ${request.url}`);
    reply.writeHead(status).end(JSON.stringify(body));
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  return {address: `127.0.0.1:${port}`, requests};
}

const account = `kind: ClientAccount
name: a
spec: {rateTokensPerSecond: 10, burstTokens: 20}
`;
const key = `kind: Key
name: k
spec: {sha256: ${'a'.repeat(64)}, account: a}
`;
const settings = `host: north-1
failureDomain: north
listen: {callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}
platform: {addresses: ['127.0.0.1:1']}
peerSecurity: {kind: plain}
`;

test('check accepts valid files', async t => {
  const files = [writeFile(t, `${account}---\n${key}`), writeFile(t, settings)];
  const {status, output} = await run(['check', ...files]);
  t.is(status, 0);
  t.is(output, '1 settings files, 2 configuration documents, 0 faults');
});

test('check resolves references between documents of different files', async t => {
  const valid = await run(['check', writeFile(t, account), writeFile(t, key)]);
  const dangling = await run(['check', writeFile(t, key)]);
  t.is(valid.status, 0);
  t.is(dangling.status, 1);
  t.regex(
    dangling.output,
    /file.yaml: Key\/k\/spec\/account: got "a", expected/,
  );
});

test('check reports an invalid field', async t => {
  const file = writeFile(t, account.replace('10', '-1'));
  const {status, output} = await run(['check', '--json', file]);
  t.is(status, 1);
  t.like(JSON.parse(output).faults[0], {
    file,
    path: 'ClientAccount/a/spec/rateTokensPerSecond',
    value: '-1',
  });
});

test('check reports duplicate YAML keys and duplicate documents', async t => {
  const duplicateKey = await run([
    'check',
    writeFile(t, `${account}name: b\n`),
  ]);
  const duplicateDocument = await run([
    'check',
    writeFile(t, `${account}---\n${account}`),
  ]);
  t.is(duplicateKey.status, 1);
  t.regex(duplicateKey.output, /line \d+: got .*unique/);
  t.is(duplicateDocument.status, 1);
  t.regex(duplicateDocument.output, /a second document, at line 5/);
});

test('check reports faults of settings', async t => {
  const file = writeFile(t, settings.replace('north-1', 'UPPER'));
  const {status, output} = await run(['check', file]);
  t.is(status, 1);
  t.regex(output, /\/host: got "UPPER", expected must match pattern/);
});

test('check rejects an empty file, a missing file and a directory', async t => {
  t.is((await run(['check', writeFile(t, '')])).status, 1);
  t.is((await run(['check', '/nowhere.yaml'])).status, 2);
  const directory = await run(['check', tmpdir()]);
  t.is(directory.status, 2);
  t.regex(directory.errors, /EISDIR/);
});

test('hash-key reads the key only from standard input', async t => {
  const {status, output} = await run(['hash-key'], 'abc\n');
  t.is(status, 0);
  t.is(
    output,
    'ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad',
  );
  const asArgument = await run(['hash-key', 'abc']);
  t.is(asArgument.status, 2);
  t.is((await run(['hash-key'], '')).status, 2);
  t.is((await run(['hash-key'], 'a b\n')).status, 2);
});

test('status prints a table or JSON', async t => {
  const body = {
    host: 'north-1',
    incarnation: 'i',
    failureDomain: 'north',
    version: '7',
    inFlight: 3,
    isReady: true,
    isDraining: false,
    peers: [{host: 'south-1', failureDomain: 'south', state: 'alive'}],
    upstreams: [{upstream: 'decode-1', state: 'live', details: {slots: 20}}],
  };
  const {address} = await startServer(t, 200, body);
  const table = await run(['status', '--address', address]);
  t.is(table.status, 0);
  t.regex(table.output, /north-1 +north +ready +7 +3 +i/);
  t.regex(table.output, /decode-1 +live +slots=20/);
  const json = await run(['status', '--json', '--address', address]);
  t.deepEqual(JSON.parse(json.output), body);
});

test('histograms prints only the selected account', async t => {
  const entry = (name: string) => ({
    account: name,
    class: 'targeted',
    finished: 2,
    goodput: 1,
    refusedInsideRate: 0,
    wastedPrefillTokens: 0,
    phases: {
      'first-token': {
        count: 2,
        maximum: 8,
        percentiles: {p50: 5, p95: 7.5, p99: 8},
      },
    },
  });
  const {address} = await startServer(t, 200, {
    accounts: [entry('a'), entry('b')],
  });
  const args = ['histograms', '--address', address, '--account', 'b'];
  const {status, output} = await run(args);
  t.is(status, 0);
  t.regex(output, /b +targeted +first-token +2 +5.0 +7.5 +8.0 +8.0/);
  t.notRegex(output, /^a /m);
});

test('explain prints reasons and reports a missing route', async t => {
  const upstream = {
    name: 'orders-0',
    pool: 'orders',
    role: 'service',
    address: '127.0.0.1:1',
    isUsable: false,
    reasons: ['it is leaving'],
  };
  const body = {
    account: 'a',
    version: '1',
    route: 'orders',
    routes: [{name: 'orders', isUsable: true, reasons: []}],
    upstreams: [upstream],
  };
  const found = await startServer(t, 200, body);
  const args = ['explain', '--account', 'a', '--path', '/x?y'];
  const good = await run([...args, '--address', found.address]);
  t.is(good.status, 0);
  t.deepEqual(found.requests, ['GET /explain?account=a&path=%2Fx%3Fy']);
  t.regex(good.output, /orders-0 .* it is leaving/);
  const withoutRoute = await startServer(t, 200, {
    ...body,
    route: undefined,
    refusal: 'route-not-found',
  });
  const none = await run([...args, '--address', withoutRoute.address]);
  t.is(none.status, 1);
  t.regex(none.output, /refused: route-not-found/);
  t.is((await run(['explain', '--account', 'a'])).status, 2);
});

test('drain posts to the host and prints the requests in flight', async t => {
  const {address, requests} = await startServer(t, 202, {inFlight: 4});
  const {status, output} = await run(['drain', '--address', address]);
  t.is(status, 0);
  t.is(output, 'draining, 4 requests in flight');
  t.deepEqual(requests, ['POST /drain']);
});

test('an error response and an unreachable host are reported', async t => {
  const {address} = await startServer(t, 404, {
    error: {message: 'no such thing'},
  });
  const errorResponse = await run(['status', '--address', address]);
  t.is(errorResponse.status, 2);
  t.regex(errorResponse.errors, /404: no such thing/);
  const absent = await run(['status', '--address', '127.0.0.1:1']);
  t.is(absent.status, 2);
  t.regex(absent.errors, /ECONNREFUSED/);
});

test('help lists the commands and wrong usage fails', async t => {
  const help = await run(['--help']);
  t.is(help.status, 0);
  for (const word of ['check', 'explain', 'hash-key', 'Exit status'])
    t.true(help.output.includes(word), word);
  t.is((await run([])).status, 2);
  t.is((await run(['nonsense'])).status, 2);
  t.is((await run(['status', '--nonsense'])).status, 2);
});
