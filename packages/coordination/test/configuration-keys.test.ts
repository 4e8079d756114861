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
  const monitor = new KeyWithdrawalMonitor(store);
  const stream = monitor.register(hash, accountId('a'), route(setting));
  return {apply, monitor, publish, store, stream};
}

test('withdrawing a key aborts its streams', t => {
  const {apply, stream} = openStream();
  apply(1n, [{kind: 'withdraw', key: 'Key/k'}]);
  t.true(stream.signal.reason instanceof KeyWithdrawnError);
});

test('moving a key to another account aborts its streams', t => {
  const {apply, publish, stream} = openStream();
  apply(1n, publish(key('k', 'b')));
  t.true(stream.signal.aborted);
});

test('a route with finish-streams lets streams finish', t => {
  const {apply, monitor, stream} = openStream('finish-streams');
  apply(1n, [{kind: 'withdraw', key: 'Key/k'}]);
  t.false(stream.signal.aborted);
  t.false(
    monitor.register(hash, accountId('a'), route('finish-streams')).signal
      .aborted,
  );
});

test('unrelated changes abort no streams, and closed streams are not aborted', t => {
  const {apply, publish, stream} = openStream();
  apply(1n, publish(account('c')));
  t.false(stream.signal.aborted);
  stream.close();
  apply(2n, [{kind: 'withdraw', key: 'Key/k'}]);
  t.false(stream.signal.aborted);
});

test('a stream registered after the withdrawal of its key is aborted', t => {
  const {apply, monitor} = openStream();
  apply(1n, [{kind: 'withdraw', key: 'Key/k'}]);
  t.true(monitor.register(hash, accountId('a'), route()).signal.aborted);
});

test('a withdrawal aborts streams on all hosts within two seconds', async t => {
  const fleet = new VirtualHosts(9, 3, 21);
  fleet.platform.publish(
    fleet.membership(),
    account('a'),
    key('k', 'a'),
    route(),
  );
  fleet.startAll();
  await fleet.millisecondsUntilActive(1n, 5000);
  await fleet.clock.advance(3000);
  const streams = fleet.hostIds.map(host =>
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
