/** Histograms and counters of one client account and class. */

import type {FailureCode} from '@persimmonwick/coordination';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';

/** The measured times of a request. */
export const requestPhases = [
  'queueing',
  'first-token',
  'between-tokens',
  'whole-request',
] as const;
export type RequestPhase = (typeof requestPhases)[number];

const unitsPerMillisecond = 10;
const longestMilliseconds = 3_600_000;
const shortestHighestUnits = 1000;

/** Percentiles that pages and metrics show. */
export const shownPercentiles = [50, 95, 99] as const;

/** What one histogram says, in milliseconds. */
export interface PhaseSummary {
  readonly count: number;
  readonly mean: number;
  readonly maximum: number;
  readonly percentiles: Readonly<Record<string, number>>;
}

export class RequestStatistics {
  readonly histograms: Readonly<Record<RequestPhase, Histogram>> = {
    queueing: makeHistogram(),
    'first-token': makeHistogram(),
    'between-tokens': makeHistogram(),
    'whole-request': makeHistogram(),
  };
  /** Sums are kept apart: the mean of a histogram is slow to compute. */
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
  /** Requests that were refused or failed. */
  readonly failures = new Map<FailureCode, number>();

  record(phase: RequestPhase, milliseconds: number): void {
    const bounded = Math.min(Math.max(milliseconds, 0), longestMilliseconds);
    const units = Math.round(bounded * unitsPerMillisecond);
    this.histograms[phase].recordValue(units);
    this.sums[phase] += bounded;
  }

  countFailure(code: FailureCode): void {
    this.failures.set(code, (this.failures.get(code) ?? 0) + 1);
  }

  /** Adds all that `other` has seen. */
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

  /** Milliseconds below which `percentile` of the recorded times lie. */
  percentile(phase: RequestPhase, percentile: number): number {
    const units = this.histograms[phase].getValueAtPercentile(percentile);
    return units / unitsPerMillisecond;
  }

  summarize(phase: RequestPhase): PhaseSummary {
    const histogram = this.histograms[phase];
    const {totalCount} = histogram;
    return {
      count: totalCount,
      mean: totalCount === 0 ? 0 : this.sums[phase] / totalCount,
      maximum: histogram.maxValue / unitsPerMillisecond,
      percentiles: Object.fromEntries(
        shownPercentiles.map(percentile => [
          `p${percentile}`,
          this.percentile(phase, percentile),
        ]),
      ),
    };
  }
}

/** Small at first; grows with the longest time that it has seen. */
function makeHistogram(): Histogram {
  return build({
    autoResize: true,
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: shortestHighestUnits,
    numberOfSignificantValueDigits: 2,
  });
}
