import test from 'ava';
import {
  ConfigurationStore,
  KeyWithdrawalMonitor,
  KeyWithdrawnError,
  VirtualClock,
  accountId,
  hostId,
} from '../src/index.js';
import type {KeyHash, Route} from '../src/index.js';
import {account, hashOf, key} from './tools/documents.js';
import {VirtualHosts} from './tools/virtual-hosts.js';

const route = (onKeyWithdrawal?: string) =>
  ({
    kind: 'Route',
    name: 'r',
    spec: {
      target: {kind: 'service', pathPrefix: '/r', services: {}},
      ...(onKeyWithdrawal === undefined ? {} : {onKeyWithdrawal}),
    },
  }) as Route;
const hash = hashOf('k') as KeyHash;

function openStream(setting?: string) {
  const store = new ConfigurationStore({clock: new VirtualClock()});
  const apply = (from: bigint, changes: readonly object[]) =>
    store.apply(
      {from, to: from + 1n, changes: changes as never},
      {kind: 'platform'},
    );
  const publish = (...documents: object[]) =>
    documents.map(document => ({kind: 'publish', document}));
  apply(0n, publish(account('a'), account('b'), key('k', 'a'), route(setting)));
  const guard = new KeyWithdrawalMonitor(store);
  const stream = guard.register(hash, accountId('a'), route(setting));
  return {apply, guard, publish, store, stream};
}

test('a withdrawn key ends streams', t => {
  const {apply, stream} = openStream();
  apply(1n, [{kind: 'withdraw', key: 'Key/k'}]);
  t.true(stream.signal.reason instanceof KeyWithdrawnError);
});

test('a key given to another account ends streams', t => {
  const {apply, publish, stream} = openStream();
  apply(1n, publish(key('k', 'b')));
  t.true(stream.signal.aborted);
});

test('a route may let streams finish', t => {
  const {apply, guard, stream} = openStream('finish-streams');
  apply(1n, [{kind: 'withdraw', key: 'Key/k'}]);
  t.false(stream.signal.aborted);
  t.false(
    guard.register(hash, accountId('a'), route('finish-streams')).signal
      .aborted,
  );
});

test('other changes and closed streams are left alone', t => {
  const {apply, publish, stream} = openStream();
  apply(1n, publish(account('c')));
  t.false(stream.signal.aborted);
  stream.close();
  apply(2n, [{kind: 'withdraw', key: 'Key/k'}]);
  t.false(stream.signal.aborted);
});

test('a key that went before the guard ends the stream', t => {
  const {apply, guard} = openStream();
  apply(1n, [{kind: 'withdraw', key: 'Key/k'}]);
  t.true(guard.register(hash, accountId('a'), route()).signal.aborted);
});

test('a withdrawal takes hold within seconds on all hosts', async t => {
  const fleet = new VirtualHosts(9, 3, 21);
  fleet.platform.publish(
    fleet.membership(),
    account('a'),
    key('k', 'a'),
    route(),
  );
  fleet.startAll();
  await fleet.timeUntil(1n, 5000);
  await fleet.clock.advance(3000);
  const streams = fleet.names.map(host =>
    new KeyWithdrawalMonitor(fleet.hosts.get(hostId(host))!.store).register(
      hash,
      accountId('a'),
      route(),
    ),
  );
  t.false(streams.some(stream => stream.signal.aborted));
  fleet.platform.withdraw('Key/k');
  await fleet.clock.advance(2000);
  t.true(streams.every(stream => stream.signal.aborted));
  await fleet.close();
});
