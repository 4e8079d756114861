/** Exports the metrics in the Prometheus text format. */

import {setImmediate as yieldToLoop} from 'node:timers/promises';
import {Counter, Gauge, Registry, collectDefaultMetrics} from 'prom-client';
import type {AccountEntry} from './account-table.js';
import type {RequestMetrics} from './request-metrics.js';
import {requestPhases, reportedPercentiles} from './request-statistics.js';
import type {RequestPhase, RequestStatistics} from './request-statistics.js';

/** Values of the gauges of the host. */
export interface HostGauges {
  readonly inFlight: number;
  /** Memory that is set aside for bodies of requests. */
  readonly requestBytesHeld: number;
  readonly configurationVersion: bigint;
  readonly isReady: boolean;
  readonly isDraining: boolean;
}

const accountLabels = ['account', 'class'] as const;
/** Prometheus quantiles range from 0 to 1. */
const percentPerUnit = 100;
const entriesPerBatch = 64;

/** Renders a registry. Concurrent scrapes share one rendering. */
export class MetricsPage {
  private pendingRendering: Promise<string> | undefined;

  constructor(private readonly registry: Registry) {}

  get contentType(): string {
    return this.registry.contentType;
  }

  async render(): Promise<string> {
    this.pendingRendering ??= this.registry.metrics().finally(() => {
      this.pendingRendering = undefined;
    });
    return this.pendingRendering;
  }
}

/** Creates a registry that reads its values from `metrics` at each scrape. */
export function createRegistry(
  metrics: RequestMetrics,
  readGauges: () => HostGauges,
): Registry {
  const registry = new Registry();
  collectDefaultMetrics({register: registry});
  addHostGauges(registry, readGauges);
  for (const phase of requestPhases) addPhaseMetrics(registry, metrics, phase);
  addCounters(registry, metrics);
  return registry;
}

function addHostGauges(registry: Registry, readGauges: () => HostGauges): void {
  const addGauge = (name: string, help: string, value: () => number) =>
    new Gauge({
      name: `persimmonwick_${name}`,
      help,
      registers: [registry],
      collect() {
        this.set(value());
      },
    });
  addGauge('requests_in_flight', 'Requests that are answered', () => {
    return readGauges().inFlight;
  });
  addGauge(
    'request_bytes_held',
    'Memory that is set aside for bodies of requests',
    () => readGauges().requestBytesHeld,
  );
  addGauge('configuration_version', 'Configuration version in force', () =>
    Number(readGauges().configurationVersion),
  );
  addGauge('ready', 'One when the host takes requests', () =>
    Number(readGauges().isReady),
  );
  addGauge('draining', 'One when the host takes no new requests', () =>
    Number(readGauges().isDraining),
  );
}

/**
 * Adds the metrics of one phase. The client library formats each metric in
 * one synchronous step, and separate metrics keep the steps short.
 */
function addPhaseMetrics(
  registry: Registry,
  metrics: RequestMetrics,
  phase: RequestPhase,
): void {
  const name = `persimmonwick_${phase.replace('-', '_')}_milliseconds`;
  const quantiles = new Gauge({
    name,
    help: `Quantiles of ${phase} by account and class`,
    labelNames: [...accountLabels, 'quantile'],
    registers: [registry],
    async collect() {
      quantiles.reset();
      for (const batch of batchesOf(metrics)) {
        await yieldToLoop();
        for (const {account, serviceClass, statistics} of batch)
          for (const percentile of reportedPercentiles)
            quantiles.set(
              {
                account,
                class: serviceClass,
                quantile: String(percentile / percentPerUnit),
              },
              statistics.percentile(phase, percentile),
            );
      }
    },
  });
  const counts = new Counter({
    name: `${name}_count`,
    help: `Times recorded of ${phase} by account and class`,
    labelNames: accountLabels,
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

/** Batches of entries, between which a scrape yields to the event loop. */
function* batchesOf(metrics: RequestMetrics): Generator<AccountEntry[]> {
  const entries = [...metrics.entries()];
  for (let index = 0; index < entries.length; index += entriesPerBatch)
    yield entries.slice(index, index + entriesPerBatch);
}

function addCounters(registry: Registry, metrics: RequestMetrics): void {
  const addCounter = (
    name: string,
    help: string,
    readValue: (statistics: RequestStatistics) => number,
  ) => {
    const counter = new Counter({
      name: `persimmonwick_${name}_total`,
      help,
      labelNames: accountLabels,
      registers: [registry],
      async collect() {
        counter.reset();
        await yieldToLoop();
        for (const {account, serviceClass, statistics} of metrics.entries())
          counter.inc({account, class: serviceClass}, readValue(statistics));
      },
    });
  };
  addCounter('requests_finished', 'Requests answered whole', s => s.finished);
  addCounter(
    'goodput',
    'Requests answered whole within targets',
    s => s.goodput,
  );
  addCounter(
    'wasted_prefill_tokens',
    'Prompt tokens whose prefill came to nothing',
    s => s.wastedPrefillTokens,
  );
  addCounter(
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
    labelNames: [...accountLabels, 'code'],
    registers: [registry],
    async collect() {
      failures.reset();
      await yieldToLoop();
      for (const [code, count] of metrics.failuresBeforeRouting)
        failures.inc({account: '', class: '', code}, count);
      for (const {account, serviceClass, statistics} of metrics.entries())
        for (const [code, count] of statistics.failures)
          failures.inc({account, class: serviceClass, code}, count);
    },
  });
}
