/** What a limiter counts for its operators, since its start. */

import type {RateRefusal} from './admission.js';

/** Counters that only grow. */
export interface LimiterCounters {
  /** Admitted with tokens that were at this host. */
  readonly admittedImmediately: number;
  /** Admitted with tokens of other hosts, or after a wait. */
  readonly admittedAfterWait: number;
  readonly refused: Readonly<Record<RateRefusal['reason'], number>>;
  /** Messages to other hosts that asked for an answer. */
  readonly exchanges: number;
  /** Those that got none, or one that made no sense. */
  readonly failedExchanges: number;
}

type Writable<Value> = {-readonly [Key in keyof Value]: Value[Key]};

/** Counters as the parts of a limiter change them. */
export type WritableLimiterCounters = Writable<
  Omit<LimiterCounters, 'refused'>
> & {readonly refused: Writable<LimiterCounters['refused']>};

/** Counters at zero. */
export function newLimiterCounters(): WritableLimiterCounters {
  return {
    admittedImmediately: 0,
    admittedAfterWait: 0,
    refused: {
      'unknown-account': 0,
      'larger-than-burst': 0,
      'rate-exceeded': 0,
      cancelled: 0,
      closed: 0,
    },
    exchanges: 0,
    failedExchanges: 0,
  };
}
