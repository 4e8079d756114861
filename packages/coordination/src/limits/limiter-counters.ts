/** Counters of a limiter since its start. */

import type {RateRefusal} from './admission.js';

/** Counters that only increase. */
export interface LimiterCounters {
  /**
   * Requests admitted without queueing, with own or already borrowed tokens.
   */
  readonly admittedImmediately: number;
  /** Requests that were queued before they were admitted. */
  readonly admittedAfterWait: number;
  readonly refused: Readonly<Record<RateRefusal['reason'], number>>;
  /** Messages to other hosts that expect a reply. */
  readonly exchanges: number;
  /** Exchanges without a reply or with an invalid one. */
  readonly failedExchanges: number;
}

type Writable<Value> = {-readonly [Key in keyof Value]: Value[Key]};

/** Counters as written by the components of a limiter. */
export type WritableLimiterCounters = Writable<
  Omit<LimiterCounters, 'refused'>
> & {readonly refused: Writable<LimiterCounters['refused']>};

/** Creates counters at zero. */
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
