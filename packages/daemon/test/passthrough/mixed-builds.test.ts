/** Hosts of different builds exchange datagrams while a fleet is upgraded. */

import test from 'ava';
import type {ExecutionContext} from 'ava';
import {createSocket} from 'node:dgram';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  Beat,
  RequestQuarantine,
  UpstreamRequestLimits,
  UpstreamTable,
  VirtualClock,
  hostId,
} from '@persimmonwick/coordination';
import type {
  RetryLoanMessage,
  StreamOriginMessage,
} from '@persimmonwick/coordination';
import {HeartbeatSocket} from '../../src/passthrough/heartbeat-socket.js';
import {recordedDatagrams} from './recorded-datagrams.js';

const receiveTimeoutMilliseconds = 2000;

/** A length-delimited field 4000 with one byte, which no build knows. */
const unknownField = Buffer.from([0x82, 0xfa, 0x01, 0x01, 0x2a]);

/** A message about streams whose content has field 9, which no build knows. */
const unknownStreamMessage = Buffer.from([0x9a, 0x01, 0x03, 0x4a, 0x01, 0x2a]);

class Receiver {
  readonly heartbeats: Beat[] = [];
  readonly streamMessages: StreamOriginMessage[] = [];
  readonly loanMessages: RetryLoanMessage[] = [];
  readonly errors: string[] = [];
  private readonly socket = new HeartbeatSocket({
    onHeartbeat: heartbeat => this.heartbeats.push(heartbeat),
    onStreamOrigin: (_address, message) => this.streamMessages.push(message),
    onRetryLoan: (_address, message) => this.loanMessages.push(message),
    onError: (_address, reason) => this.errors.push(reason),
  });

  async listen(t: ExecutionContext): Promise<void> {
    await this.socket.listen('127.0.0.1:0');
    t.teardown(() => this.socket.close());
  }

  /** Sends a datagram to the receiver and waits until it is processed. */
  async deliver(bytes: Uint8Array): Promise<void> {
    const before = this.processedCount;
    const [address = '', port = ''] = this.socket.address.split(':');
    const sender = createSocket('udp4');
    await new Promise(resolve =>
      sender.send(bytes, Number(port), address, resolve),
    );
    sender.close();
    const deadline = Date.now() + receiveTimeoutMilliseconds;
    while (this.processedCount === before && Date.now() < deadline)
      await sleep(5);
  }

  private get processedCount(): number {
    return (
      this.heartbeats.length +
      this.streamMessages.length +
      this.loanMessages.length +
      this.errors.length
    );
  }
}

for (const {build, kind, hexadecimal} of recordedDatagrams)
  test(`a ${kind} of build ${build} is understood`, async t => {
    const receiver = new Receiver();
    await receiver.listen(t);
    await receiver.deliver(Buffer.from(hexadecimal, 'hex'));
    t.deepEqual(receiver.errors, []);
    if (kind === 'heartbeat') {
      const [heartbeat] = receiver.heartbeats;
      t.is(heartbeat?.host, 'entry-a-1');
      t.is(heartbeat?.sequence, 212n);
      t.is(heartbeat?.loads[0]?.memoryTokens, 9810);
      t.is(heartbeat?.usage[0]?.admittedTokens, 128_400.5);
      t.is(heartbeat?.configurationVersion, 14n);
    } else if (kind === 'loan request' || kind === 'loan reply')
      t.is(`loan ${receiver.loanMessages[0]?.content?.$case}`, kind);
    else t.is(receiver.streamMessages[0]?.content?.$case, kind);
  });

test('spare retries and contact are absent in heartbeats of earlier builds', t => {
  const heartbeats = recordedDatagrams
    .filter(({kind}) => kind === 'heartbeat')
    .map(({hexadecimal}) => Beat.decode(Buffer.from(hexadecimal, 'hex')));
  const [newest, ...earlier] = heartbeats.reverse();
  for (const {seedContactAgeMilliseconds, spareRetries} of earlier) {
    t.is(seedContactAgeMilliseconds, undefined);
    t.deepEqual(spareRetries, []);
  }
  t.is(newest?.seedContactAgeMilliseconds, 420);
  t.is(newest?.spareRetries[0]?.hundredths, 135);
});

test('a heartbeat with a field of a newer build is understood', async t => {
  const receiver = new Receiver();
  await receiver.listen(t);
  for (const {kind, hexadecimal} of recordedDatagrams)
    if (kind === 'heartbeat') {
      const bytes = Buffer.from(hexadecimal, 'hex');
      await receiver.deliver(Buffer.concat([bytes, unknownField]));
    }
  t.deepEqual(receiver.errors, []);
  t.is(receiver.heartbeats.length, 4);
});

test('a stream message of a newer build is reported and the next one is read', async t => {
  const receiver = new Receiver();
  await receiver.listen(t);
  await receiver.deliver(unknownStreamMessage);
  t.is(receiver.errors.length, 1);
  const known = recordedDatagrams.find(({kind}) => kind === 'query')!;
  await receiver.deliver(Buffer.from(known.hexadecimal, 'hex'));
  t.is(receiver.streamMessages.length, 1);
});

test('heartbeats of earlier builds change only what they carry', t => {
  const clock = new VirtualClock();
  const upstreams = new UpstreamTable(clock);
  const requestLimits = new UpstreamRequestLimits({
    clock,
    self: hostId('entry-c-1'),
    hosts: () => [hostId('entry-a-1'), hostId('entry-c-1')],
    silentHostCount: () => 0,
    onChange: () => undefined,
    onLearned: () => undefined,
  });
  const quarantine = new RequestQuarantine({
    clock,
    onChange: () => undefined,
    onLearned: () => undefined,
  });
  for (const {build, kind, hexadecimal} of recordedDatagrams) {
    if (kind !== 'heartbeat') continue;
    const heartbeat = Beat.decode(Buffer.from(hexadecimal, 'hex'));
    upstreams.recordHeartbeat(heartbeat);
    quarantine.recordPeer(heartbeat);
    requestLimits.recordPeer(
      hostId(heartbeat.host),
      heartbeat.incarnation,
      Number(heartbeat.ageMilliseconds),
      heartbeat.requestLimits,
    );
    t.is(upstreams.reportedLoad('engine-1').calls, 3, build);
    t.is(upstreams.reportedLoad('engine-1').memoryTokens, 9810, build);
    t.is(requestLimits.isLimited('desk-1'), build !== '3c326d1', build);
  }
});
