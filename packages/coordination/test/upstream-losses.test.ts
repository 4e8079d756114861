import test from 'ava';
import {RequestQuarantine, UpstreamTable, VirtualClock} from '../src/index.js';
import type {UpstreamDocument} from '../src/index.js';
import {httpStatusOf} from '../src/requests/failure.js';
import {UpstreamLosses} from '../src/passthrough/upstream-losses.js';
import type {GenerationState} from '../src/passthrough/generation-run.js';
import type {PassthroughParts} from '../src/passthrough/passthrough-parts.js';

/** Four engines, of which those in `down` accept no connections. */
class Site {
  readonly clock = new VirtualClock();
  readonly upstreams = new UpstreamTable(this.clock);
  readonly down = new Set<string>();
  readonly quarantine = new RequestQuarantine({
    clock: this.clock,
    onChange: () => undefined,
    onLearned: () => undefined,
  });
  readonly losses = new UpstreamLosses({
    clock: this.clock,
    upstreams: this.upstreams,
    quarantine: this.quarantine,
    transport: {
      probe: ({name}: UpstreamDocument) =>
        Promise.resolve(!this.down.has(name)),
    },
    observer: () => undefined,
  } as unknown as PassthroughParts);

  constructor() {
    const documents = ['d-1', 'd-2', 'd-3', 'd-4'].map(
      name =>
        ({
          kind: 'Upstream',
          name,
          labels: {service: 'test'},
          spec: {address: `${name}:80`, failureDomain: 'a'},
        }) as UpstreamDocument,
    );
    this.upstreams.replace(new Map(documents.map(each => [each.name, each])));
  }

  stateOf(attemptEvents = 0): GenerationState {
    const promptParts = ['first', 'second', 'last'].map(id => ({
      id,
      tokens: 10,
    }));
    return {
      call: {id: 'call', fingerprint: 'request', generation: {promptParts}},
      pool: {spec: {upstreams: {service: 'test'}}},
      attemptEvents,
      possibleRuns: 1,
      isSuspect: false,
    } as unknown as GenerationState;
  }

  /** Records a lost connection; returns whether a retry is withheld. */
  async lose(name: string, attemptEvents = 0): Promise<boolean> {
    const state = this.stateOf(attemptEvents);
    const engine = this.upstreams
      .inFailureDomain('a')
      .find(({document}) => document.name === name)!;
    await this.losses.record(state, engine);
    return state.isSuspect;
  }

  get suspectCount(): number {
    return this.quarantine.report().upstreamLosses.flatMap(({traits}) => traits)
      .length;
  }
}

test('an engine that goes down before its first event makes the prompt suspect', async t => {
  const site = new Site();
  site.down.add('d-1');
  t.true(await site.lose('d-1'));
  t.is(site.suspectCount, 3, 'two parts and the request');
});

test('a connection that fails while its engine goes on accuses no prompt', async t => {
  const site = new Site();
  t.false(await site.lose('d-1'));
  t.is(site.suspectCount, 0);
});

test('a stream that had begun accuses no prompt', async t => {
  const site = new Site();
  site.down.add('d-1');
  t.false(await site.lose('d-1', 1));
  t.is(site.suspectCount, 0);
});

test('a prompt of sound parts may be retried', async t => {
  const site = new Site();
  site.losses.recordSuccess(site.stateOf());
  site.down.add('d-1');
  t.false(await site.lose('d-1'));
});

test('prompts may be retried when many engines are lost at once', async t => {
  const site = new Site();
  site.down.add('d-1').add('d-2');
  await site.lose('d-1', 7);
  await site.clock.advance(50);
  t.false(await site.lose('d-2'));
  await site.clock.advance(200);
  t.true(await site.lose('d-2'));
});

test('a quarantined prompt is refused with the time that is left', async t => {
  const site = new Site();
  site.down.add('d-1').add('d-2');
  await site.lose('d-1');
  await site.clock.advance(10_000);
  await site.lose('d-2');
  await site.clock.advance(10_000);
  const refusal = site.losses.refusalOf({...site.stateOf(), possibleRuns: 0});
  t.is(refusal?.code, 'prompt-quarantined');
  t.is(refusal?.ran, 'not-run');
  t.is(refusal?.retryAfterMilliseconds, 590_000);
});

test('a quarantined prompt that may have run is not reported as refused', async t => {
  const site = new Site();
  site.down.add('d-1').add('d-2');
  await site.lose('d-1');
  await site.clock.advance(10_000);
  await site.lose('d-2');
  const failure = site.losses.refusalOf({...site.stateOf(), possibleRuns: 1});
  t.is(failure?.ran, 'unknown');
  t.is(httpStatusOf(failure!.code), 502);
});
