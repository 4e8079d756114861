/** The metrics in the text format of Prometheus. */

import {Counter, Gauge, Registry, collectDefaultMetrics} from 'prom-client';
import type {RequestMetrics} from './request-metrics.js';
import {requestPhases, shownPercentiles} from './request-statistics.js';
import type {RequestStatistics} from './request-statistics.js';

/** Figures of the whole host. */
export interface HostGauges {
  readonly inFlight: number;
  readonly configurationVersion: bigint;
  readonly isReady: boolean;
  readonly isDraining: boolean;
}

const subjectLabels = ['account', 'class'] as const;
const percent = 100;

/** A registry whose values are read from `metrics` at each scrape. */
export function createRegistry(
  metrics: RequestMetrics,
  gauges: () => HostGauges,
): Registry {
  const registry = new Registry();
  collectDefaultMetrics({register: registry});
  addHostGauges(registry, gauges);
  addPhaseGauges(registry, metrics);
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

function addPhaseGauges(registry: Registry, metrics: RequestMetrics): void {
  const quantiles = new Gauge({
    name: 'persimmonwick_request_milliseconds',
    help: 'Times of requests: quantiles by account, class and phase',
    labelNames: [...subjectLabels, 'phase', 'quantile'],
    registers: [registry],
    collect() {
      this.reset();
      for (const {account, serviceClass, statistics} of metrics.entries())
        for (const phase of requestPhases) {
          const {percentiles} = statistics.summarize(phase);
          const labels = {account, class: serviceClass, phase};
          for (const shown of shownPercentiles)
            quantiles.set(
              {...labels, quantile: String(shown / percent)},
              percentiles[`p${shown}`]!,
            );
        }
    },
  });
  const counts = new Counter({
    name: 'persimmonwick_request_times_total',
    help: 'Times recorded by account, class and phase',
    labelNames: [...subjectLabels, 'phase'],
    registers: [registry],
    collect() {
      this.reset();
      for (const {account, serviceClass, statistics} of metrics.entries())
        for (const phase of requestPhases)
          counts.inc(
            {account, class: serviceClass, phase},
            statistics.histograms[phase].totalCount,
          );
    },
  });
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
      collect() {
        counter.reset();
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
    collect() {
      failures.reset();
      for (const [code, count] of metrics.earlyFailures)
        failures.inc({account: '', class: '', code}, count);
      for (const {account, serviceClass, statistics} of metrics.entries())
        for (const [code, count] of statistics.failures)
          failures.inc({account, class: serviceClass, code}, count);
    },
  });
}
