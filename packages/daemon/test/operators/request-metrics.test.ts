import {VirtualClock, accountId} from '@persimmonwick/coordination';
import type {RequestFailure} from '@persimmonwick/coordination';
import test from 'ava';
import {otherAccounts} from '../../src/operators/account-table.js';
import {MetricsPage, createRegistry} from '../../src/operators/prometheus.js';
import {RequestMetrics} from '../../src/operators/request-metrics.js';
import type {RequestAttributes} from '../../src/operators/request-observer.js';

const subject = (account: string): RequestAttributes => ({
  account: accountId(account),
  serviceClass: 'targeted',
  firstTokenMilliseconds: 100,
  betweenTokensMilliseconds: 20,
});
const failure = (
  code: RequestFailure['code'],
  ran: RequestFailure['ran'] = 'not-run',
): RequestFailure => ({code, message: '', ran});

async function answer(
  metrics: RequestMetrics,
  clock: VirtualClock,
  account: string,
  firstMilliseconds: number,
  betweenMilliseconds: number,
) {
  const observation = metrics.startObservation(subject(account), clock.now());
  observation.dequeued();
  await clock.advance(firstMilliseconds);
  observation.firstToken();
  for (let index = 0; index < 4; index += 1) {
    await clock.advance(betweenMilliseconds);
    observation.token();
  }
  observation.finished();
}

test('times and goodput', async t => {
  const clock = new VirtualClock();
  const metrics = new RequestMetrics(clock);
  await answer(metrics, clock, 'a', 80, 10);
  await answer(metrics, clock, 'a', 120, 10);
  await answer(metrics, clock, 'a', 80, 30);
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

test('refusals inside the rate', t => {
  const metrics = new RequestMetrics(new VirtualClock());
  const observe = () => metrics.startObservation(subject('a'), 0);
  observe().failed(failure('queue-full'));
  observe().failed(failure('rate-exceeded'));
  observe().failed(failure('rate-exceeded'), true);
  observe().failed(failure('upstream-failed', 'unknown'));
  const [entry] = metrics.entries();
  t.is(entry!.statistics.refusedInsideRate, 2);
  t.is(entry!.statistics.failures.get('rate-exceeded'), 2);
});

test('accounts past the bound share one entry', async t => {
  const clock = new VirtualClock();
  const metrics = new RequestMetrics(clock, 2);
  for (const account of ['a', 'b', 'c', 'd'])
    await answer(metrics, clock, account, 1, 1);
  const accounts = [...metrics.entries()].map(({account}) => String(account));
  t.deepEqual(accounts, ['a', 'b', otherAccounts]);
});

test('an idle account gives its place up and nothing is lost', async t => {
  const clock = new VirtualClock();
  const metrics = new RequestMetrics(clock, 2);
  await answer(metrics, clock, 'a', 1, 1);
  await answer(metrics, clock, 'b', 1, 1);
  await clock.advance(61_000);
  await answer(metrics, clock, 'b', 1, 1);
  await answer(metrics, clock, 'c', 1, 1);
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
    await answer(metrics, clock, `account-${index}`, 900, 40);
  const entries = [...metrics.entries()];
  const bytes = entries
    .flatMap(({statistics}) => Object.values(statistics.histograms))
    .reduce((sum, {estimatedFootprintInBytes}) => {
      return sum + estimatedFootprintInBytes;
    }, 0);
  t.is(entries.length, 129);
  t.log(`histograms: ${bytes} bytes`);
  t.true(bytes < 32 * 1024 * 1024);
});

test('text format', async t => {
  const clock = new VirtualClock();
  const metrics = new RequestMetrics(clock);
  await answer(metrics, clock, 'a"b', 80, 10);
  metrics.refused(failure('unknown-key'));
  const registry = createRegistry(metrics, () => ({
    inFlight: 3,
    configurationVersion: 7n,
    isReady: true,
    isDraining: false,
  }));
  const page = new MetricsPage(registry);
  const [text, again] = await Promise.all([page.read(), page.read()]);
  t.is(again, text);
  t.true(text.includes('persimmonwick_requests_in_flight 3'));
  t.true(text.includes('persimmonwick_configuration_version 7'));
  t.regex(text, /goodput_total\{account="a\\"b",class="targeted"\} 1/);
  t.regex(text, /failures_total\{[^}]*code="unknown-key"\} 1/);
  t.regex(text, /first_token_milliseconds\{[^}]*quantile="0.95"\} 8/);
});
