import test from 'ava';
import {
  ConfigurationHandler,
  ConfigurationStore,
  VirtualClock,
} from '../src/index.js';
import type {RefusedVersion} from '../src/index.js';
import {account, accountsWithKeys, key} from './tools/documents.js';

const platform = {kind: 'platform'} as const;
const publish = (...documents: unknown[]) =>
  documents.map(document => ({kind: 'publish', document}) as const);

function makeStore() {
  const refused: RefusedVersion[] = [];
  const clock = new VirtualClock();
  const store = new ConfigurationStore({
    clock,
    onRefused: each => refused.push(each),
  });
  const applyPage = (from: bigint, to: bigint, ...documents: unknown[]) =>
    store.apply({from, to, changes: publish(...documents)}, platform).kind;
  return {clock, store, refused, applyPage};
}

test('versions only increase', t => {
  const {store, applyPage} = makeStore();
  t.is(applyPage(0n, 5n, account('a')), 'applied');
  t.is(applyPage(0n, 4n, account('b')), 'known');
  t.is(applyPage(5n, 3n), 'known');
  t.is(applyPage(7n, 9n, account('b')), 'gap');
  t.is(store.current.version, 5n);
});

test('a refused version is reported once and corrected by the next one', t => {
  const {store, refused, applyPage} = makeStore();
  applyPage(0n, 1n, account('a'));
  t.is(applyPage(1n, 2n, key('k', 'missing')), 'refused');
  t.is(applyPage(1n, 2n, key('k', 'missing')), 'known');
  t.is(store.current.version, 1n);
  t.is(store.lastReadVersion, 2n);
  t.is(applyPage(2n, 3n, {kind: 'Key', name: 'broken'}), 'refused');
  t.is(applyPage(3n, 4n, key('broken', 'a'), account('missing')), 'applied');
  t.is(store.current.documents.size, 4);
  t.deepEqual(
    refused.map(each => each.version),
    [2n, 3n],
  );
});

test('a refused version is kept when a page from a peer is applied', t => {
  const {store, applyPage} = makeStore();
  applyPage(0n, 1n, account('a'));
  applyPage(1n, 5n, account('b'), key('k', 'missing'));
  t.is(applyPage(1n, 3n, account('c')), 'applied');
  t.is(applyPage(5n, 6n, account('missing')), 'applied');
  t.deepEqual([...store.current.accounts.keys()].sort(), ['a', 'b', 'missing']);
});

test('a page from version zero replaces all documents', t => {
  const {store, applyPage} = makeStore();
  applyPage(0n, 1n, account('a'), key('k', 'a'));
  t.is(applyPage(0n, 2n, account('b')), 'applied');
  t.deepEqual([...store.current.accounts.keys()], ['b']);
  t.is(store.current.accountOfKey.size, 0);
});

test('waiting for a version ends when it is active or at the deadline', async t => {
  const {clock, store, applyPage} = makeStore();
  const late = store.waitForVersion(1n, 50);
  t.false(await clock.runUntil(late));
  const found = store.waitForVersion(1n, clock.now() + 50);
  applyPage(0n, 1n, account('a'));
  t.true(await found);
});

test('a listener is called until it unsubscribes', t => {
  const {store, applyPage} = makeStore();
  const versions: bigint[] = [];
  const unsubscribe = store.subscribe(next => versions.push(next.version));
  applyPage(0n, 1n, account('a'));
  unsubscribe();
  applyPage(1n, 2n, account('b'));
  t.deepEqual(versions, [1n]);
});

test('a peer receives a delta, or all documents when the history lacks its version', async t => {
  const {clock, store, applyPage} = makeStore();
  applyPage(0n, 1n, account('a'), account('b'));
  applyPage(1n, 2n, account('c'));
  store.apply(
    {from: 2n, to: 3n, changes: [{kind: 'withdraw', key: 'ClientAccount/a'}]},
    platform,
  );
  const handler = new ConfigurationHandler(store, clock);
  const requestAfter = (afterVersion: bigint) =>
    handler.handle({
      afterVersion,
      waitMilliseconds: 0,
      transferVersion: 0n,
      afterKey: '',
    });
  const delta = await requestAfter(1n);
  t.false(delta.reset);
  t.deepEqual(
    delta.changes.map(change => [change.key, change.document === '']),
    [
      ['ClientAccount/a', true],
      ['ClientAccount/c', false],
    ],
  );
  const withoutHistory = new ConfigurationStore({clock});
  withoutHistory.apply(
    {from: 0n, to: 9n, changes: publish(account('z'))},
    platform,
  );
  const full = await new ConfigurationHandler(withoutHistory, clock).handle({
    afterVersion: 4n,
    waitMilliseconds: 0,
    transferVersion: 0n,
    afterKey: '',
  });
  t.true(full.reset);
});

test('replies stay below the size limit unless they hold one document', async t => {
  const {clock, store} = makeStore();
  const labelled = account('big');
  const unlabelled = {...labelled, labels: {}, spec: {...labelled.spec}};
  const oversizedRoute = {
    kind: 'Route',
    name: 'r',
    spec: {
      target: {
        kind: 'model',
        models: ['m'],
        prefill: {},
        decode: {},
        sharedPreamble: 'x'.repeat(1_048_000),
      },
    },
  };
  const changes = publish(
    ...accountsWithKeys(6100),
    unlabelled,
    oversizedRoute,
  );
  t.is(store.apply({from: 0n, to: 1n, changes}, platform).kind, 'applied');
  const handler = new ConfigurationHandler(store, clock);
  let afterKey = '';
  let documents = 0;
  for (let more = true; more;) {
    const reply = await handler.handle({
      afterVersion: 0n,
      waitMilliseconds: 0,
      transferVersion: 1n,
      afterKey,
    });
    const bytes = reply.changes.reduce(
      (sum, change) => sum + change.document.length + change.key.length,
      0,
    );
    t.true(bytes <= 1_000_000 || reply.changes.length === 1);
    documents += reply.changes.length;
    afterKey = reply.changes.at(-1)!.key;
    more = reply.more;
  }
  t.is(documents, 12_202);
});
