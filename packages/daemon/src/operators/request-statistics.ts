/** Histograms and counters for one client account and class. */

import type {FailureCode} from '@persimmonwick/coordination';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';

/** The phases of a request whose durations are recorded. */
export const requestPhases = [
  'queueing',
  'first-token',
  'between-tokens',
  'whole-request',
] as const;
export type RequestPhase = (typeof requestPhases)[number];

/** Histograms record tenths of a millisecond. */
const tenthsPerMillisecond = 10;
const maximumRecordedMilliseconds = 3_600_000;
const initialMaximumTenths = 1000;

/** Percentiles that the operators' endpoints and the metrics report. */
export const reportedPercentiles = [50, 95, 99] as const;

/** Summary of a histogram, with times in milliseconds. */
export interface PhaseSummary {
  readonly count: number;
  readonly mean: number;
  readonly maximum: number;
  readonly percentiles: Readonly<Record<string, number>>;
}

export class RequestStatistics {
  readonly histograms: Readonly<Record<RequestPhase, Histogram>> = {
    queueing: createHistogram(),
    'first-token': createHistogram(),
    'between-tokens': createHistogram(),
    'whole-request': createHistogram(),
  };
  /** Kept separately because the mean of a histogram is slow to compute. */
  private readonly sums: Record<RequestPhase, number> = {
    queueing: 0,
    'first-token': 0,
    'between-tokens': 0,
    'whole-request': 0,
  };
  finished = 0;
  goodput = 0;
  wastedPrefillTokens = 0;
  refusedInsideRate = 0;
  /** Counts of requests that were refused or failed. */
  readonly failures = new Map<FailureCode, number>();

  record(phase: RequestPhase, milliseconds: number): void {
    const clampedMilliseconds = Math.min(
      Math.max(milliseconds, 0),
      maximumRecordedMilliseconds,
    );
    const tenths = Math.round(clampedMilliseconds * tenthsPerMillisecond);
    this.histograms[phase].recordValue(tenths);
    this.sums[phase] += clampedMilliseconds;
  }

  countFailure(code: FailureCode): void {
    this.failures.set(code, (this.failures.get(code) ?? 0) + 1);
  }

  /** Adds the histograms and counters of `other`. */
  add(other: RequestStatistics): void {
    for (const phase of requestPhases) {
      this.histograms[phase].add(other.histograms[phase]);
      this.sums[phase] += other.sums[phase];
    }
    this.finished += other.finished;
    this.goodput += other.goodput;
    this.wastedPrefillTokens += other.wastedPrefillTokens;
    this.refusedInsideRate += other.refusedInsideRate;
    for (const [code, count] of other.failures)
      this.failures.set(code, (this.failures.get(code) ?? 0) + count);
  }

  /** Returns the `percentile` of the recorded times, in milliseconds. */
  percentile(phase: RequestPhase, percentile: number): number {
    const tenths = this.histograms[phase].getValueAtPercentile(percentile);
    return tenths / tenthsPerMillisecond;
  }

  summarize(phase: RequestPhase): PhaseSummary {
    const histogram = this.histograms[phase];
    const {totalCount} = histogram;
    return {
      count: totalCount,
      mean: totalCount === 0 ? 0 : this.sums[phase] / totalCount,
      maximum: histogram.maxValue / tenthsPerMillisecond,
      percentiles: Object.fromEntries(
        reportedPercentiles.map(percentile => [
          `p${percentile}`,
          this.percentile(phase, percentile),
        ]),
      ),
    };
  }
}

/** Creates a small histogram that grows with the longest recorded time. */
function createHistogram(): Histogram {
  return build({
    autoResize: true,
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: initialMaximumTenths,
    numberOfSignificantValueDigits: 2,
  });
}
