/** Prometheus metrics of passed-through calls. */

import {
  Counter,
  Gauge,
  Histogram as MetricsHistogram,
  Registry,
} from 'prom-client';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import type {
  CallEvent,
  QuarantineChange,
  RequestMemoryEvent,
  ResponseMemoryEvent,
  SilenceProbe,
} from '@persimmonwick/coordination';
import {CallReadMetrics} from '../connections/call-read-metrics.js';
import type {ConnectionLoss, UnreadInput} from './caller-connection.js';
import {endingPartyOf} from './connection-end.js';
import type {CallSummary} from './call-context.js';

/** Gauges that are read on each scrape. */
export interface PassthroughGauges {
  readonly inFlight: number;
  readonly waiting: number;
  readonly hosts: number;
  readonly silentHosts: number;
  readonly upstreams: number;
  /** Failure domains that are evacuated. */
  readonly evacuatedDomains: number;
  readonly quarantinedParts: number;
  readonly streamOrigins: number;
  readonly configurationVersion: number;
  /** Restore epoch of the platform's store; 0 if it reports none. */
  readonly platformEpoch: number;
  readonly proofAgeSeconds: number;
  /** Time since contact with most seeds. */
  readonly seedContactSeconds: number;
  /** Bytes of responses that are held for callers. */
  readonly requestBytesHeld: number;
  readonly responseBytesHeld: number;
  readonly connectionsOpened: number;
}

const millisecondsPerSecond = 1000;
/** Up to the longest queue timeout of usual routes. */
const forecastErrorBucketsSeconds = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];
const percentiles = [50, 95, 99];
const percentDivisor = 100;
const maximumLatencyMilliseconds = 600_000;

export class PassthroughMetrics {
  readonly registry = new Registry();
  private readonly histograms = new Map<string, Histogram>();
  private readonly callCounter: Counter<'route' | 'status' | 'code'>;
  private readonly connectionLossCounter: Counter<'by' | 'reason' | 'progress'>;
  private readonly unreadInputCounter: Counter<'by' | 'reason'>;
  private readonly decisionCounter: Counter<'decision' | 'outcome'>;

  private readonly domainCallCounter: Counter<'purpose' | 'reason'>;
  private readonly domainByteCounter: Counter<'purpose' | 'reason'>;
  private readonly requestMemoryCounter: Counter<'event'>;
  private readonly responseMemoryCounter: Counter<'event'>;
  private readonly noticeCounter: Counter<'notice'>;
  private readonly quarantineCounter: Counter<'change' | 'detail'>;
  private readonly silenceProbeCounter: Counter<'outcome'>;
  private readonly forecastErrors: MetricsHistogram;
  readonly reads = new CallReadMetrics();
  private readonly repeatCounter: Counter<'pool' | 'purpose' | 'reason'>;
  private readonly retryCounter: Counter<'pool' | 'reason'>;
  private readonly poolCallCounter: Counter<'pool'>;
  private readonly retryLoanCounter: Counter<'pool'>;
  private readonly retryAvailableGauge: Gauge<'pool'>;
  private readonly retrySpentGauge: Gauge<'pool'>;

  constructor(gauges: () => PassthroughGauges) {
    const registers = [this.registry];
    this.callCounter = new Counter({
      name: 'persimmonwick_calls_total',
      help: 'Passed-through calls by route, status and failure code',
      labelNames: ['route', 'status', 'code'],
      registers,
    });
    this.connectionLossCounter = new Counter({
      name: 'persimmonwick_caller_connections_lost_total',
      help: 'Connections of callers that ended before all calls on them were answered',
      labelNames: ['by', 'reason', 'progress'],
      registers,
    });
    this.unreadInputCounter = new Counter({
      name: 'persimmonwick_caller_input_unread_total',
      help: 'Connections of callers that ended with unread bytes behind their last call',
      labelNames: ['by', 'reason'],
      registers,
    });
    this.decisionCounter = new Counter({
      name: 'persimmonwick_call_decisions_total',
      help: 'Decisions about passed-through calls',
      labelNames: ['decision', 'outcome'],
      registers,
    });
    this.domainCallCounter = new Counter({
      name: 'persimmonwick_domain_calls_total',
      help: 'Work sent to other failure domains',
      labelNames: ['purpose', 'reason'],
      registers,
    });
    this.domainByteCounter = new Counter({
      name: 'persimmonwick_domain_bytes_total',
      help: 'Bytes of requests and caches sent to other failure domains',
      labelNames: ['purpose', 'reason'],
      registers,
    });
    this.requestMemoryCounter = new Counter({
      name: 'persimmonwick_request_memory_events_total',
      help: 'Shortages of memory for bodies of requests, and bodies not received to their end',
      labelNames: ['event'],
      registers,
    });
    this.responseMemoryCounter = new Counter({
      name: 'persimmonwick_response_memory_events_total',
      help: 'Shortages of memory for responses, and responses given up in them',
      labelNames: ['event'],
      registers,
    });
    this.noticeCounter = new Counter({
      name: 'persimmonwick_upstream_notices_total',
      help: 'Notices of upstreams about themselves that were applied',
      labelNames: ['notice'],
      registers,
    });
    this.quarantineCounter = new Counter({
      name: 'persimmonwick_prompt_quarantine_changes_total',
      help: 'Prompt parts suspected, quarantined, released and dropped',
      labelNames: ['change', 'detail'],
      registers,
    });
    this.silenceProbeCounter = new Counter({
      name: 'persimmonwick_silence_probes_total',
      help: 'Requests sent to upstreams that sent no byte to a call in time',
      labelNames: ['outcome'],
      registers,
    });
    this.repeatCounter = new Counter({
      name: 'persimmonwick_pool_repeats_total',
      help: 'Requests that upstreams may have received beyond the first of a call',
      labelNames: ['pool', 'purpose', 'reason'],
      registers,
    });
    this.retryCounter = new Counter({
      name: 'persimmonwick_pool_retries_total',
      help: 'Retries that the retry budget granted',
      labelNames: ['pool', 'reason'],
      registers,
    });
    this.poolCallCounter = new Counter({
      name: 'persimmonwick_pool_calls_total',
      help: 'Calls that the retry budget of a pool counts',
      labelNames: ['pool'],
      registers,
    });
    this.retryLoanCounter = new Counter({
      name: 'persimmonwick_pool_retries_lent_total',
      help: 'Retries that this host has given up for other hosts',
      labelNames: ['pool'],
      registers,
    });
    this.retryAvailableGauge = new Gauge({
      name: 'persimmonwick_pool_retries_available',
      help: 'Retries that this host may send, at the last retry',
      labelNames: ['pool'],
      registers,
    });
    this.retrySpentGauge = new Gauge({
      name: 'persimmonwick_pool_retries_spent',
      help: 'Retries of the fixed part that this host has spent in the last window, at the last retry',
      labelNames: ['pool'],
      registers,
    });
    this.forecastErrors = new MetricsHistogram({
      name: 'persimmonwick_queue_forecast_error_seconds',
      help: 'Difference between the forecast and the actual wait of calls that waited for engine memory',
      buckets: forecastErrorBucketsSeconds,
      registers,
    });
    this.reads.registerAt(this.registry);
    this.registerLatencyGauge();
    const names: readonly (keyof PassthroughGauges)[] = [
      'inFlight',
      'waiting',
      'hosts',
      'silentHosts',
      'upstreams',
      'evacuatedDomains',
      'quarantinedParts',
      'streamOrigins',
      'configurationVersion',
      'platformEpoch',
      'proofAgeSeconds',
      'seedContactSeconds',
      'requestBytesHeld',
      'responseBytesHeld',
      'connectionsOpened',
    ];
    for (const name of names)
      new Gauge({
        name: `persimmonwick_${name.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`)}`,
        help: `Present value of ${name}`,
        registers,
        collect() {
          const value = gauges()[name];
          // An age without a proof or contact is infinite and reported as -1.
          this.set(Number.isFinite(value) ? value : -1);
        },
      });
  }

  recordCallEnd({
    route,
    status,
    failure,
    durationMilliseconds,
  }: CallSummary): void {
    this.callCounter.inc({
      route,
      status: String(status),
      code: failure?.code ?? '',
    });
    if (failure === undefined)
      this.recordLatency('whole', durationMilliseconds);
  }

  recordConnectionLoss({reason, calls: [first]}: ConnectionLoss): void {
    const progress = first?.progress ?? '';
    const by = endingPartyOf(reason);
    this.connectionLossCounter.inc({by, reason, progress});
  }

  recordUnreadInput({reason}: UnreadInput): void {
    this.unreadInputCounter.inc({by: endingPartyOf(reason), reason});
  }

  recordRequestMemory(event: RequestMemoryEvent): void {
    switch (event.kind) {
      case 'shortage':
        if (event.isShort) this.requestMemoryCounter.inc({event: 'shortage'});
        break;
      case 'ended':
        this.requestMemoryCounter.inc({event: event.end});
    }
  }

  recordResponseMemory(event: ResponseMemoryEvent): void {
    if (event.kind === 'shortage' && !event.isShort) return;
    this.responseMemoryCounter.inc({event: event.kind});
  }

  /** Counts retries that this host has given up for others. */
  recordRetryLoan(pool: string, amount: number): void {
    this.retryLoanCounter.inc({pool}, amount);
  }

  /** Counts a call that earns retries. */
  recordPoolCall(pool: string): void {
    this.poolCallCounter.inc({pool});
  }

  /** Counts what upstreams say about themselves in responses. */
  recordNotice(
    notice: 'leaving' | 'pause' | 'request-limit' | 'cold' | 'unreadable',
  ): void {
    this.noticeCounter.inc({notice});
  }

  recordSilenceProbe({outcome}: SilenceProbe): void {
    this.silenceProbeCounter.inc({outcome});
  }

  recordQuarantine(change: QuarantineChange): void {
    const {kind} = change;
    switch (kind) {
      case 'suspected':
      case 'quarantined':
        this.quarantineCounter.inc({change: kind, detail: change.source});
        break;
      case 'released':
        this.quarantineCounter.inc({change: kind, detail: change.reason});
        break;
      case 'dropped':
        this.quarantineCounter.inc({change: kind, detail: ''});
    }
  }

  recordEvent(event: CallEvent): void {
    switch (event.kind) {
      case 'stage-done':
        this.decisionCounter.inc({
          decision: event.purpose,
          outcome: event.outcome,
        });
        this.recordLatency(event.purpose, event.took);
        break;
      case 'chosen':
        // Counted by its stage-done event.
        break;
      case 'queue-left':
        this.forecastErrors.observe(
          Math.abs(event.waited - event.forecast) / millisecondsPerSecond,
        );
        break;
      case 'handed-over':
        this.decisionCounter.inc({
          decision: event.kind,
          outcome: event.outcome,
        });
        this.recordLatency(event.kind, event.took);
        break;
      case 'placement-restricted':
      case 'send-withheld':
        this.decisionCounter.inc({
          decision: event.kind,
          outcome: event.reason,
        });
        break;
      case 'limit-reached':
        this.decisionCounter.inc({
          decision: event.kind,
          outcome: event.outcome,
        });
        break;
      case 'interrupted':
      case 'version-uncertain':
        this.decisionCounter.inc({decision: event.kind, outcome: event.reason});
        break;
      case 'not-resumed':
        this.decisionCounter.inc({decision: event.kind, outcome: event.step});
        break;
      case 'retry-withheld':
        this.decisionCounter.inc({decision: event.kind, outcome: event.limit});
        break;
      case 'taken-up':
        this.decisionCounter.inc({
          decision: event.kind,
          outcome: event.outcome,
        });
        this.recordLatency(event.kind, event.waited);
        break;
      case 'domain-left': {
        const {purpose, reason, bytes} = event;
        this.domainCallCounter.inc({purpose, reason});
        this.domainByteCounter.inc({purpose, reason}, bytes);
        break;
      }
      case 'repeated': {
        const {pool, purpose, reason} = event;
        this.repeatCounter.inc({pool, purpose, reason});
        break;
      }
      case 'retried': {
        const {pool, reason, acquired, available, spent} = event;
        this.retryCounter.inc({pool, reason}, acquired);
        this.retryAvailableGauge.set({pool}, available);
        this.retrySpentGauge.set({pool}, spent);
        break;
      }
      case 'admitted':
      case 'over-rate':
      case 'resumed':
      case 'connection-lost':
      case 'other-process':
      case 'quarantine-refused':
      case 'queue-refused':
        this.decisionCounter.inc({decision: event.kind, outcome: ''});
    }
  }

  private recordLatency(phase: string, milliseconds: number): void {
    let histogram = this.histograms.get(phase);
    if (histogram === undefined) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: maximumLatencyMilliseconds,
        numberOfSignificantValueDigits: 2,
      });
      this.histograms.set(phase, histogram);
    }
    const value = Math.min(
      maximumLatencyMilliseconds,
      Math.max(1, milliseconds),
    );
    histogram.recordValue(Math.round(value));
  }

  private registerLatencyGauge(): void {
    const {histograms} = this;
    new Gauge({
      name: 'persimmonwick_call_milliseconds',
      help: 'Quantiles of the time of each phase of passed-through calls',
      labelNames: ['phase', 'quantile'],
      registers: [this.registry],
      collect() {
        for (const [phase, histogram] of histograms)
          for (const percentile of percentiles)
            this.set(
              {phase, quantile: String(percentile / percentDivisor)},
              histogram.getValueAtPercentile(percentile),
            );
      },
    });
  }
}
