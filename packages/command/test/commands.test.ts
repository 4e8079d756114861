import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Readable} from 'node:stream';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {runCommand} from '../src/index.js';

async function run(words: string[], input = '') {
  const output: string[] = [];
  const errors: string[] = [];
  const status = await runCommand(words, {
    input: Readable.from([input]) as never,
    print: line => output.push(line),
    complain: line => errors.push(line),
    prompt: text => errors.push(text),
  });
  return {status, output: output.join('\n'), errors: errors.join('\n')};
}

function write(t: ExecutionContext, text: string): string {
  const directory = mkdtempSync(join(tmpdir(), 'check-'));
  t.teardown(() => rmSync(directory, {recursive: true}));
  const file = join(directory, 'file.yaml');
  writeFileSync(file, text);
  return file;
}

async function serve(
  t: ExecutionContext,
  status: number,
  answer: unknown,
): Promise<{address: string; asked: string[]}> {
  const asked: string[] = [];
  const server = createServer((request, reply) => {
    asked.push(`${request.method} ${request.url}`);
    reply.writeHead(status).end(JSON.stringify(answer));
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  return {address: `127.0.0.1:${port}`, asked};
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

test('check good files', async t => {
  const files = [write(t, `${account}---\n${key}`), write(t, settings)];
  const {status, output} = await run(['check', ...files]);
  t.is(status, 0);
  t.is(output, '1 settings files, 2 configuration documents, 0 faults');
});

test('check documents across files', async t => {
  const good = await run(['check', write(t, account), write(t, key)]);
  const lone = await run(['check', write(t, key)]);
  t.is(good.status, 0);
  t.is(lone.status, 1);
  t.regex(lone.output, /file.yaml: Key\/k\/spec\/account: got "a", expected/);
});

test('check a wrong field', async t => {
  const file = write(t, account.replace('10', '-1'));
  const {status, output} = await run(['check', '--json', file]);
  t.is(status, 1);
  t.like(JSON.parse(output).faults[0], {
    file,
    path: 'ClientAccount/a/spec/rateTokensPerSecond',
    value: '-1',
  });
});

test('check duplicate keys and documents', async t => {
  const keys = await run(['check', write(t, `${account}name: b\n`)]);
  const twice = await run(['check', write(t, `${account}---\n${account}`)]);
  t.is(keys.status, 1);
  t.regex(keys.output, /line \d+: got .*unique/);
  t.is(twice.status, 1);
  t.regex(twice.output, /a second document, at line 5/);
});

test('check settings faults', async t => {
  const file = write(t, settings.replace('north-1', 'UPPER'));
  const {status, output} = await run(['check', file]);
  t.is(status, 1);
  t.regex(output, /\/host: got "UPPER", expected must match pattern/);
});

test('check empty, missing and directory', async t => {
  t.is((await run(['check', write(t, '')])).status, 1);
  t.is((await run(['check', '/nowhere.yaml'])).status, 2);
  const directory = await run(['check', tmpdir()]);
  t.is(directory.status, 2);
  t.regex(directory.errors, /EISDIR/);
});

test('hash-key reads standard input only', async t => {
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

test('status table and JSON', async t => {
  const answer = {
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
  const {address} = await serve(t, 200, answer);
  const table = await run(['status', '--address', address]);
  t.is(table.status, 0);
  t.regex(table.output, /north-1 +north +ready +7 +3 +i/);
  t.regex(table.output, /decode-1 +live +slots=20/);
  const json = await run(['status', '--json', '--address', address]);
  t.deepEqual(JSON.parse(json.output), answer);
});

test('histograms of one account', async t => {
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
  const {address} = await serve(t, 200, {accounts: [entry('a'), entry('b')]});
  const words = ['histograms', '--address', address, '--account', 'b'];
  const {status, output} = await run(words);
  t.is(status, 0);
  t.regex(output, /b +targeted +first-token +2 +5.0 +7.5 +8.0 +8.0/);
  t.notRegex(output, /^a /m);
});

test('explain', async t => {
  const upstream = {
    name: 'orders-0',
    pool: 'orders',
    role: 'service',
    address: '127.0.0.1:1',
    isUsable: false,
    reasons: ['it is leaving'],
  };
  const answer = {
    account: 'a',
    version: '1',
    route: 'orders',
    routes: [{name: 'orders', isUsable: true, reasons: []}],
    upstreams: [upstream],
  };
  const found = await serve(t, 200, answer);
  const words = ['explain', '--account', 'a', '--path', '/x?y'];
  const good = await run([...words, '--address', found.address]);
  t.is(good.status, 0);
  t.deepEqual(found.asked, ['GET /explain?account=a&path=%2Fx%3Fy']);
  t.regex(good.output, /orders-0 .* it is leaving/);
  const lacking = await serve(t, 200, {
    ...answer,
    route: undefined,
    refusal: 'route-not-found',
  });
  const none = await run([...words, '--address', lacking.address]);
  t.is(none.status, 1);
  t.regex(none.output, /refused: route-not-found/);
  t.is((await run(['explain', '--account', 'a'])).status, 2);
});

test('drain', async t => {
  const {address, asked} = await serve(t, 202, {inFlight: 4});
  const {status, output} = await run(['drain', '--address', address]);
  t.is(status, 0);
  t.is(output, 'draining, 4 requests in flight');
  t.deepEqual(asked, ['POST /drain']);
});

test('host that refuses or is not there', async t => {
  const {address} = await serve(t, 404, {error: {message: 'no such thing'}});
  const refused = await run(['status', '--address', address]);
  t.is(refused.status, 2);
  t.regex(refused.errors, /404: no such thing/);
  const absent = await run(['status', '--address', '127.0.0.1:1']);
  t.is(absent.status, 2);
  t.regex(absent.errors, /ECONNREFUSED/);
});

test('usage', async t => {
  const help = await run(['--help']);
  t.is(help.status, 0);
  for (const word of ['check', 'explain', 'hash-key', 'Exit status'])
    t.true(help.output.includes(word), word);
  t.is((await run([])).status, 2);
  t.is((await run(['nonsense'])).status, 2);
  t.is((await run(['status', '--nonsense'])).status, 2);
});
