/** Settings of a host that passes calls through. */

import type {LimitSlack} from '@persimmonwick/coordination';

export interface PassthroughSettings {
  readonly host: string;
  readonly failureDomain: string;
  readonly listen: {
    readonly callers: string;
    readonly readiness: string;
    /** Datagrams of other hosts. */
    readonly beats: string;
    readonly metrics: string | undefined;
  };
  /** Path that is answered with 200 while the host takes calls. */
  readonly readinessPath: string;
  readonly metricsPath: string;
  /** Addresses of some other hosts, for the first beats. */
  readonly seeds: readonly string[];
  /** Longest age of the proof that a key still holds; unlimited if absent. */
  readonly keyProofMilliseconds: number | undefined;
  readonly limitSlack: LimitSlack;
  readonly retries: {
    readonly ratio: number;
    readonly extra: number;
    readonly windowMilliseconds: number;
  };
  /** Time between the signal to stop and the end of the process. */
  readonly graceMilliseconds: number;
}
