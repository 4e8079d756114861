/** The metrics in the text format of Prometheus. */

import {setImmediate as yieldToLoop} from 'node:timers/promises';
import {Counter, Gauge, Registry, collectDefaultMetrics} from 'prom-client';
import type {AccountEntry} from './account-table.js';
import type {RequestMetrics} from './request-metrics.js';
import {requestPhases, shownPercentiles} from './request-statistics.js';
import type {RequestPhase, RequestStatistics} from './request-statistics.js';

/** Figures of the whole host. */
export interface HostGauges {
  readonly inFlight: number;
  readonly configurationVersion: bigint;
  readonly isReady: boolean;
  readonly isDraining: boolean;
}

const subjectLabels = ['account', 'class'] as const;
const percent = 100;
const groupSize = 64;

/** The page of a registry; readers at the same time share one reading. */
export class MetricsPage {
  private reading: Promise<string> | undefined;

  constructor(private readonly registry: Registry) {}

  get contentType(): string {
    return this.registry.contentType;
  }

  async read(): Promise<string> {
    this.reading ??= this.registry.metrics().finally(() => {
      this.reading = undefined;
    });
    return this.reading;
  }
}

/** A registry whose values are read from `metrics` at each scrape. */
export function createRegistry(
  metrics: RequestMetrics,
  gauges: () => HostGauges,
): Registry {
  const registry = new Registry();
  collectDefaultMetrics({register: registry});
  addHostGauges(registry, gauges);
  for (const phase of requestPhases) addPhaseMetrics(registry, metrics, phase);
  addCounters(registry, metrics);
  return registry;
}

function addHostGauges(registry: Registry, read: () => HostGauges): void {
  const add = (name: string, help: string, value: () => number) =>
    new Gauge({
      name: `persimmonwick_${name}`,
      help,
      registers: [registry],
      collect() {
        this.set(value());
      },
    });
  add('requests_in_flight', 'Requests that are answered', () => {
    return read().inFlight;
  });
  add('configuration_version', 'Configuration version in force', () =>
    Number(read().configurationVersion),
  );
  add('ready', 'One when the host takes requests', () =>
    Number(read().isReady),
  );
  add('draining', 'One when the host takes no new requests', () =>
    Number(read().isDraining),
  );
}

/** One pair of metrics for each phase, so that each is formatted apart. */
function addPhaseMetrics(
  registry: Registry,
  metrics: RequestMetrics,
  phase: RequestPhase,
): void {
  const name = `persimmonwick_${phase.replace('-', '_')}_milliseconds`;
  const quantiles = new Gauge({
    name,
    help: `Quantiles of ${phase} by account and class`,
    labelNames: [...subjectLabels, 'quantile'],
    registers: [registry],
    async collect() {
      quantiles.reset();
      for (const group of groupsOf(metrics)) {
        await yieldToLoop();
        for (const {account, serviceClass, statistics} of group)
          for (const shown of shownPercentiles)
            quantiles.set(
              {account, class: serviceClass, quantile: String(shown / percent)},
              statistics.percentile(phase, shown),
            );
      }
    },
  });
  const counts = new Counter({
    name: `${name}_count`,
    help: `Times recorded of ${phase} by account and class`,
    labelNames: subjectLabels,
    registers: [registry],
    async collect() {
      counts.reset();
      await yieldToLoop();
      for (const {account, serviceClass, statistics} of metrics.entries())
        counts.inc(
          {account, class: serviceClass},
          statistics.histograms[phase].totalCount,
        );
    },
  });
}

/** Entries in groups that are small enough to handle without a pause. */
function* groupsOf(metrics: RequestMetrics): Generator<AccountEntry[]> {
  const entries = [...metrics.entries()];
  for (let index = 0; index < entries.length; index += groupSize)
    yield entries.slice(index, index + groupSize);
}

function addCounters(registry: Registry, metrics: RequestMetrics): void {
  const add = (
    name: string,
    help: string,
    read: (statistics: RequestStatistics) => number,
  ) => {
    const counter = new Counter({
      name: `persimmonwick_${name}_total`,
      help,
      labelNames: subjectLabels,
      registers: [registry],
      async collect() {
        counter.reset();
        await yieldToLoop();
        for (const {account, serviceClass, statistics} of metrics.entries())
          counter.inc({account, class: serviceClass}, read(statistics));
      },
    });
  };
  add('requests_finished', 'Requests answered whole', s => s.finished);
  add('goodput', 'Requests answered whole within targets', s => s.goodput);
  add(
    'wasted_prefill_tokens',
    'Prompt tokens whose prefill came to nothing',
    s => s.wastedPrefillTokens,
  );
  add(
    'refused_inside_rate',
    'Requests refused although their account had rate left',
    s => s.refusedInsideRate,
  );
  addFailureCounter(registry, metrics);
}

function addFailureCounter(registry: Registry, metrics: RequestMetrics): void {
  const failures = new Counter({
    name: 'persimmonwick_request_failures_total',
    help: 'Requests refused or failed; without account when it was not known',
    labelNames: [...subjectLabels, 'code'],
    registers: [registry],
    async collect() {
      failures.reset();
      await yieldToLoop();
      for (const [code, count] of metrics.earlyFailures)
        failures.inc({account: '', class: '', code}, count);
      for (const {account, serviceClass, statistics} of metrics.entries())
        for (const [code, count] of statistics.failures)
          failures.inc({account, class: serviceClass, code}, count);
    },
  });
}
