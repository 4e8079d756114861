import test from 'ava';
import {
  DiscoveredFleet,
  RequestQuarantine,
  VirtualClock,
  failureDomainId,
  hostId,
  seededRandom,
} from '../src/index.js';
import type {Beat, UpstreamDocument} from '../src/index.js';

const traits = ['first', 'bad'];

class Host {
  readonly quarantine: RequestQuarantine;
  readonly fleet: DiscoveredFleet;

  constructor(
    clock: VirtualClock,
    index: number,
    send: (address: string, heartbeat: Beat) => void,
  ) {
    this.quarantine = new RequestQuarantine({
      clock,
      onChange: () => undefined,
      onLearned: () => this.fleet.scheduleHeartbeat(),
    });
    this.fleet = new DiscoveredFleet({
      clock,
      random: seededRandom(index),
      self: hostId(`host-${index}`),
      incarnation: 1n,
      address: () => `host-${index}:1`,
      failureDomain: failureDomainId('a'),
      seeds: ['host-0:1', 'host-1:1', 'host-2:1'],
      sender: {send},
      localState: () => ({
        usage: [],
        loads: [],
        configurationVersion: 1n,
        platformEpoch: undefined,
        platformEpochAgeMilliseconds: Infinity,
        quarantine: this.quarantine.report(),
        requestLimits: [],
        handoverAddress: '',
        unreachablePools: [],
      }),
      onHeartbeat: heartbeat => this.quarantine.recordPeer(heartbeat),
      onChange: () => undefined,
    });
  }

  get hasQuarantine(): boolean {
    return this.quarantine.findQuarantined(traits) !== undefined;
  }

  lose(name: string): void {
    const spec = {address: `${name}:80`, failureDomain: 'a', startedAt: 1};
    const engine = {kind: 'Upstream', name, spec} as UpstreamDocument;
    this.quarantine.recordLoss(engine, traits);
  }
}

/** Starts hosts that know each other, of which `lossRatio` of datagrams is lost. */
async function startHosts(clock: VirtualClock, count: number, lossRatio = 0) {
  const random = seededRandom(5);
  const hosts = new Map<string, Host>();
  const send = (address: string, heartbeat: Beat) => {
    if (random.next() >= lossRatio)
      hosts.get(address)?.fleet.receive(heartbeat);
  };
  for (let index = 0; index < count; index += 1)
    hosts.set(`host-${index}:1`, new Host(clock, index, send));
  for (const {fleet} of hosts.values()) fleet.start();
  await clock.advance(8000);
  return [...hosts.values()];
}

/** Time until all hosts refuse the prompt, in steps of 100 ms. */
async function timeToRefuse(clock: VirtualClock, hosts: readonly Host[]) {
  const start = clock.now();
  while (clock.now() - start < 20_000) {
    if (hosts.every(({hasQuarantine}) => hasQuarantine)) break;
    await clock.advance(100);
  }
  return clock.now() - start;
}

test('all hosts of a small fleet refuse a part soon, though datagrams are lost', async t => {
  const clock = new VirtualClock();
  const hosts = await startHosts(clock, 6, 0.3);
  hosts[1]!.lose('d-1');
  await clock.advance(300);
  hosts[4]!.lose('d-2');
  const milliseconds = await timeToRefuse(clock, hosts);
  t.log(`${milliseconds} ms`);
  t.true(milliseconds <= 3000);
});

test('all hosts of a large fleet refuse a part within 4 s', async t => {
  const clock = new VirtualClock();
  const hosts = await startHosts(clock, 360);
  t.is(hosts[7]!.fleet.hostCount, 360);
  hosts[100]!.lose('d-1');
  await clock.advance(500);
  hosts[200]!.lose('d-2');
  const milliseconds = await timeToRefuse(clock, hosts);
  t.log(`${milliseconds} ms`);
  t.true(milliseconds <= 4000);
});
