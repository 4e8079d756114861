import {
  VirtualClock,
  buildConfiguration,
  emptyConfiguration,
  hostId,
  incarnation,
  parseSettings,
} from '@persimmonwick/coordination';
import type {Configuration, PeerRequestBody} from '@persimmonwick/coordination';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {v7 as createTimeOrderedUuid} from 'uuid';
import {startPeers} from '../../src/index.js';
import type {PeerHandlers} from '../../src/index.js';
import {RecordingLog} from '../tools/recording-log.js';

const request: PeerRequestBody = {
  $case: 'ownership',
  value: {attempts: ['a', 'b'], relayHost: ''},
};
const timeoutMilliseconds = 10_000;

async function startHost(
  t: ExecutionContext,
  host: string,
  handlers: PeerHandlers,
) {
  const settings = parseSettings({
    host,
    failureDomain: 'north',
    listen: {
      callers: '127.0.0.1:0',
      operators: '127.0.0.1:0',
      peers: '127.0.0.1:0',
    },
    platform: {addresses: ['127.0.0.1:1']},
    peerSecurity: {kind: 'plain'},
  }).unwrapOrElse(faults => {
    throw new TypeError(JSON.stringify(faults));
  });
  const log = new RecordingLog();
  const state: {configuration: Configuration} = {
    configuration: emptyConfiguration,
  };
  const peers = await startPeers({
    settings,
    security: {kind: 'plain'},
    self: {
      host: hostId(host),
      incarnation: incarnation(createTimeOrderedUuid()),
    },
    configuration: () => state.configuration,
    log,
    clock: new VirtualClock(),
    createHandlers: () => handlers,
  });
  t.teardown(() => peers.close());
  return {peers, log, state};
}

function createConfiguration(
  version: bigint,
  addresses: Record<string, string>,
) {
  const members = Object.entries(addresses).map(([host, address]) => ({
    host,
    failureDomain: 'north',
    address,
  }));
  const membership = {kind: 'Membership', name: 'fleet', spec: {members}};
  return buildConfiguration(version, [membership]).unwrapOrElse(faults => {
    throw new TypeError(JSON.stringify(faults));
  });
}

test('members reach each other, others are refused', async t => {
  const first = await startHost(t, 'north-1', {});
  const second = await startHost(t, 'north-2', {
    ownership: {
      handle: ({attempts}) => ({
        disownedAttempts: attempts,
        ownerIncarnation: '',
      }),
    },
  });
  const both = {
    'north-1': first.peers.address,
    'north-2': second.peers.address,
  };
  const target = hostId('north-2');
  const exchange = () =>
    first.peers.transport.exchange(target, request, timeoutMilliseconds);
  const beforeMembership = await exchange();
  t.is(beforeMembership.isErr && beforeMembership.error.kind, 'unreachable');

  first.state.configuration = createConfiguration(1n, both);
  const refused = [await exchange(), await exchange()];
  t.true(refused.every(answer => answer.isErr));
  t.deepEqual(second.log.eventsOf('peerRefused'), [
    {peer: 'north-1', code: 'CODE_UNKNOWN_SENDER'},
  ]);

  second.state.configuration = createConfiguration(1n, both);
  const answer = await exchange();
  t.deepEqual(answer.isOk && answer.value.value, {
    disownedAttempts: ['a', 'b'],
    ownerIncarnation: '',
  });
});

test('incarnations of former members are removed', async t => {
  const first = await startHost(t, 'north-1', {});
  const second = await startHost(t, 'north-2', {
    ownership: {handle: () => ({disownedAttempts: [], ownerIncarnation: ''})},
  });
  const both = {
    'north-1': first.peers.address,
    'north-2': second.peers.address,
  };
  first.state.configuration = createConfiguration(1n, both);
  second.state.configuration = first.state.configuration;
  const target = hostId('north-2');
  const answer = await first.peers.transport.exchange(
    target,
    request,
    timeoutMilliseconds,
  );
  t.true(answer.isOk);
  t.not(first.peers.incarnations.newestOf(target), undefined);
  first.state.configuration = createConfiguration(2n, {
    'north-1': first.peers.address,
  });
  first.peers.removeFormerMembers();
  t.is(first.peers.incarnations.newestOf(target), undefined);
});
