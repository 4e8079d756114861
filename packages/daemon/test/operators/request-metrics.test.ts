import {VirtualClock, accountId} from '@persimmonwick/coordination';
import type {RequestFailure} from '@persimmonwick/coordination';
import test from 'ava';
import {otherAccounts} from '../../src/operators/account-table.js';
import {MetricsPage, createRegistry} from '../../src/operators/prometheus.js';
import {RequestMetrics} from '../../src/operators/request-metrics.js';
import type {RequestAttributes} from '../../src/operators/request-observer.js';

const createAttributes = (account: string): RequestAttributes => ({
  account: accountId(account),
  serviceClass: 'targeted',
  firstTokenMilliseconds: 100,
  betweenTokensMilliseconds: 20,
});
const createFailure = (
  code: RequestFailure['code'],
  ran: RequestFailure['ran'] = 'not-run',
): RequestFailure => ({code, message: '', ran});

async function recordAnswer(
  metrics: RequestMetrics,
  clock: VirtualClock,
  account: string,
  firstMilliseconds: number,
  betweenMilliseconds: number,
) {
  const observation = metrics.startObservation(
    createAttributes(account),
    clock.now(),
  );
  observation.dequeued();
  await clock.advance(firstMilliseconds);
  observation.firstToken();
  for (let index = 0; index < 4; index += 1) {
    await clock.advance(betweenMilliseconds);
    observation.token();
  }
  observation.finished();
}

test('recorded times and goodput', async t => {
  const clock = new VirtualClock();
  const metrics = new RequestMetrics(clock);
  await recordAnswer(metrics, clock, 'a', 80, 10);
  await recordAnswer(metrics, clock, 'a', 120, 10);
  await recordAnswer(metrics, clock, 'a', 80, 30);
  const [{statistics}] = [...metrics.entries()] as [
    ReturnType<typeof metrics.entries> extends Iterable<infer Entry>
      ? Entry
      : never,
  ];
  t.is(statistics.finished, 3);
  t.is(statistics.goodput, 1);
  t.is(statistics.summarize('between-tokens').count, 12);
  t.true(Math.abs(statistics.summarize('first-token').maximum - 120) <= 2);
  t.is(statistics.summarize('whole-request').count, 3);
  t.is(statistics.summarize('queueing').percentiles['p99'], 0);
});

test('refusals within the rate', t => {
  const metrics = new RequestMetrics(new VirtualClock());
  const startObservation = () =>
    metrics.startObservation(createAttributes('a'), 0);
  startObservation().failed(createFailure('queue-full'));
  startObservation().failed(createFailure('rate-exceeded'));
  startObservation().failed(createFailure('rate-exceeded'), true);
  startObservation().failed(createFailure('upstream-failed', 'unknown'));
  const [entry] = metrics.entries();
  t.is(entry!.statistics.refusedInsideRate, 2);
  t.is(entry!.statistics.failures.get('rate-exceeded'), 2);
});

test('accounts beyond the limit share one entry', async t => {
  const clock = new VirtualClock();
  const metrics = new RequestMetrics(clock, 2);
  for (const account of ['a', 'b', 'c', 'd'])
    await recordAnswer(metrics, clock, account, 1, 1);
  const accounts = [...metrics.entries()].map(({account}) => String(account));
  t.deepEqual(accounts, ['a', 'b', otherAccounts]);
});

test('evicting an idle account keeps its counts', async t => {
  const clock = new VirtualClock();
  const metrics = new RequestMetrics(clock, 2);
  await recordAnswer(metrics, clock, 'a', 1, 1);
  await recordAnswer(metrics, clock, 'b', 1, 1);
  await clock.advance(61_000);
  await recordAnswer(metrics, clock, 'b', 1, 1);
  await recordAnswer(metrics, clock, 'c', 1, 1);
  const counts = [...metrics.entries()].map(({account, statistics}) => [
    String(account),
    statistics.finished,
  ]);
  t.deepEqual(counts, [
    ['b', 2],
    ['c', 1],
    [otherAccounts, 1],
  ]);
});

test('6,100 accounts stay in bounded memory', async t => {
  const clock = new VirtualClock();
  const metrics = new RequestMetrics(clock);
  for (let index = 0; index < 6_100; index += 1)
    await recordAnswer(metrics, clock, `account-${index}`, 900, 40);
  const entries = [...metrics.entries()];
  const bytes = entries
    .flatMap(({statistics}) => Object.values(statistics.histograms))
    .reduce((sum, {estimatedFootprintInBytes}) => {
      return sum + estimatedFootprintInBytes;
    }, 0);
  // 128 tracked accounts and the shared entry.
  t.is(entries.length, 129);
  t.log(`histograms: ${bytes} bytes`);
  t.true(bytes < 32 * 1024 * 1024);
});

test('Prometheus text format', async t => {
  const clock = new VirtualClock();
  const metrics = new RequestMetrics(clock);
  await recordAnswer(metrics, clock, 'a"b', 80, 10);
  metrics.refused(createFailure('unknown-key'));
  const registry = createRegistry(metrics, () => ({
    inFlight: 3,
    requestBytesHeld: 0,
    configurationVersion: 7n,
    isReady: true,
    isDraining: false,
  }));
  const page = new MetricsPage(registry);
  const [text, again] = await Promise.all([page.render(), page.render()]);
  t.is(again, text);
  t.true(text.includes('persimmonwick_requests_in_flight 3'));
  t.true(text.includes('persimmonwick_configuration_version 7'));
  t.regex(text, /goodput_total\{account="a\\"b",class="targeted"\} 1/);
  t.regex(text, /failures_total\{[^}]*code="unknown-key"\} 1/);
  t.regex(text, /first_token_milliseconds\{[^}]*quantile="0.95"\} 8/);
});
