import test from 'ava';
import {ReachabilityProbes, UpstreamTable, VirtualClock} from '../src/index.js';
import type {UpstreamDocument} from '../src/index.js';

function documentOf(name: string, failureDomain: string): UpstreamDocument {
  return {
    kind: 'Upstream',
    name,
    labels: {service: 'desk'},
    spec: {address: `${name}:80`, failureDomain},
  } as UpstreamDocument;
}

/** Two upstreams in domain `a`, one in `b`, and a network that can be cut. */
class Network {
  readonly clock = new VirtualClock();
  readonly upstreams = new UpstreamTable(this.clock);
  readonly changes: string[] = [];
  readonly silent = new Set<string>();
  readonly probed: string[] = [];
  readonly probes: ReachabilityProbes;

  constructor() {
    this.list('a-1', 'a-2', 'b-1');
    this.probes = new ReachabilityProbes({
      clock: this.clock,
      upstreams: this.upstreams,
      transport: {probe: document => this.probe(document.name)},
      onChange: (name, isReachable) =>
        this.changes.push(`${name} ${isReachable ? 'reached' : 'missed'}`),
    });
  }

  list(...names: string[]): void {
    const documents = names.map(name => documentOf(name, name[0]!));
    this.upstreams.replace(
      new Map(documents.map(document => [document.name, document])),
    );
  }

  of(name: string) {
    return this.upstreams
      .inDomain(name[0]!)
      .find(({document}) => document.name === name)!;
  }

  isUsable(name: string): boolean {
    return this.of(name).health.isUsable(this.clock.now());
  }

  /** A call found that no connection to `name` could be made. */
  miss(name: string): void {
    this.of(name).health.recordUnreachable(this.clock.now());
  }

  private async probe(name: string): Promise<boolean> {
    this.probed.push(name);
    const isSilent = this.silent.has(name);
    await this.clock.sleep(isSilent ? 250 : 2);
    return !isSilent && !this.silent.has(name);
  }
}

test('calls stay away until a probe gets through', async t => {
  const network = new Network();
  network.silent.add('a-1');
  network.miss('a-1');
  await network.clock.advance(6000);
  t.false(network.isUsable('a-1'), 'longer than any rest without probes');
  network.silent.clear();
  await network.clock.advance(600);
  t.true(network.isUsable('a-1'));
  t.deepEqual(network.changes, ['a-1 missed', 'a-1 reached']);
});

test('neighbours in the failure domain are found cut off without a call', async t => {
  const network = new Network();
  network.silent.add('a-1').add('a-2');
  network.miss('a-1');
  await network.clock.advance(100);
  t.false(network.isUsable('a-2'));
  t.true(network.isUsable('b-1'));
  t.false(network.probed.includes('b-1'));
});

test('a neighbour that answers is not held back', async t => {
  const network = new Network();
  network.silent.add('a-1');
  network.miss('a-1');
  t.true(network.isUsable('a-2'));
  await network.clock.advance(1000);
  t.true(network.isUsable('a-2'));
  t.deepEqual(network.changes, ['a-1 missed']);
});

test('probes end with the entry of an upstream and with the host', async t => {
  const network = new Network();
  network.silent.add('a-1').add('b-1');
  network.miss('a-1');
  network.miss('b-1');
  await network.clock.advance(1000);
  network.list('a-2', 'b-1');
  await network.clock.advance(1000);
  network.probed.length = 0;
  await network.clock.advance(2000);
  t.false(network.probed.includes('a-1'));
  t.true(network.probed.includes('b-1'));
  network.probes.close();
  await network.clock.advance(1000);
  network.probed.length = 0;
  await network.clock.advance(2000);
  t.deepEqual(network.probed, []);
});

test('many misses at once make one row of probes', async t => {
  const network = new Network();
  network.silent.add('a-1');
  for (let call = 0; call < 20; call += 1) network.miss('a-1');
  await network.clock.advance(1000);
  t.true(network.probed.filter(name => name === 'a-1').length <= 3);
});
