/** Settings of a passthrough host. */

import type {LimitSlack} from '@persimmonwick/coordination';

export interface PassthroughSettings {
  readonly host: string;
  readonly failureDomain: string;
  readonly listen: {
    readonly callers: string;
    readonly readiness: string;
    /** Address that receives heartbeats from other hosts. */
    readonly beats: string;
    readonly metrics: string | undefined;
  };
  /** Path that returns 200 while the host accepts calls. */
  readonly readinessPath: string;
  readonly metricsPath: string;
  /** Addresses of other hosts that receive the first heartbeats. */
  readonly seeds: readonly string[];
  /** Maximum age of the proof that a key is valid; unlimited if absent. */
  readonly keyProofMilliseconds: number | undefined;
  readonly limitSlack: LimitSlack;
  readonly retries: {
    readonly ratio: number;
    readonly extra: number;
    readonly windowMilliseconds: number;
  };
  /** Time between the stop signal and the exit of the process. */
  readonly graceMilliseconds: number;
}
