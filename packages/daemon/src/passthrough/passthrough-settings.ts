/** Settings of a passthrough host. */

import type {
  ColdTolerance,
  DomainTraffic,
  LimitSlack,
} from '@persimmonwick/coordination';

export interface PassthroughSettings {
  readonly host: string;
  readonly failureDomain: string;
  /** Regions of failure domains, by the names of the domains. */
  readonly regions: Readonly<Record<string, string>>;
  readonly listen: {
    readonly callers: string;
    readonly readiness: string;
    /** Address that receives heartbeats from other hosts. */
    readonly beats: string;
    /** Address at which calls are taken over from other hosts. */
    readonly handover: string;
    readonly metrics: string | undefined;
  };
  /** Path that returns 200 while the host accepts calls. */
  readonly readinessPath: string;
  readonly metricsPath: string;
  /** Addresses of other hosts that receive the first heartbeats. */
  readonly seeds: readonly string[];
  /**
   * Maximum proof age, which is the time since a read last confirmed that the
   * configuration is current. Beyond it, calls that need a key are rejected.
   * Unlimited if absent.
   */
  readonly keyProofMilliseconds: number | undefined;
  /** How far admissions may exceed the rate and burst of an account. */
  readonly limitSlack: LimitSlack;
  /** How far requests may exceed the rate of a cold upstream in a second. */
  readonly coldTolerance: ColdTolerance;
  readonly retries: {
    /** Retries allowed per call. */
    readonly ratio: number;
    /** Additional retries allowed per window, over all hosts. */
    readonly extra: number;
    /** Period over which calls and retries are counted. */
    readonly windowMilliseconds: number;
    /**
     * Time after its start for which a host uses no part of the additional
     * retries, because its last process may just have done so. If absent, it
     * follows from the window and the time in which other hosts are heard of.
     */
    readonly startMilliseconds?: number | undefined;
  };
  readonly domainTraffic: DomainTraffic;
  /** Whether pools that routes of several urgencies share use a forecast. */
  readonly usesMemoryForecast: boolean;
  /** Resident memory that the process may use. */
  readonly memoryBytes: number;
  /** Time between the stop signal and the exit of the process. */
  readonly graceMilliseconds: number;
}
