/** Decisions that a host makes about calls, reported to logs and metrics. */

import type {LeavingReason} from '../decisions/domain-choice.js';
import type {InterruptedResponseError} from './call.js';
import type {Repeat} from './call-sends.js';
import type {RetryBudgetState} from './pool-retry-budget.js';
import type {SendRefusal} from './send-gate.js';
import type {ContinuationRefusal, SoleOrigin} from './stream-continuation.js';

/** What forbids another attempt of a call. */
export type RetryLimit =
  | 'deadline'
  /** The route allows no further run, or an earlier one may have run. */
  | 'route'
  /** The call has been sent to as many upstreams as a host tries. */
  | 'attempts'
  | 'budget'
  /** No engine took the call in time. */
  | 'capacity'
  /** An upstream went down before it answered, maybe by this request. */
  | 'prompt'
  /** No engine has the version that began the stream. */
  | 'version';

/** The step at which an attempt to start or resume a generation failed. */
export type StartStep =
  /** No engine granted a reservation, or the call may not be sent. */
  | 'reserve'
  /** Nothing would tell which version answers. */
  | 'version'
  /** The call may not be sent any more. */
  | 'gate'
  /** The retry budget does not cover the run. */
  | 'budget'
  /** The engine failed or rejected the run. */
  | 'run';

/** How far a stream had come when it was interrupted. */
export interface StreamProgress {
  /** Events passed on from this engine. */
  readonly events: number;
  readonly millisecondsSinceByte: number;
  readonly millisecondsSinceEvent: number;
}

/** One decision about one call. Times are in milliseconds. */
export type CallEvent =
  | {
      readonly kind: 'admitted';
      readonly route: string;
      readonly account: string;
      readonly version: string;
      readonly proofAge: number;
      readonly tokens: number;
    }
  | {
      readonly kind: 'over-rate';
      readonly route: string;
      readonly account: string;
      readonly version: string;
      readonly tokens: number;
      /**
       * Tokens left in the bucket of this host, after the usage reported by
       * other hosts.
       */
      readonly level: number;
      readonly tokensPerSecond: number;
      /** Fraction of the rate that this host may use. */
      readonly share: number;
      readonly retryAfter: number;
    }
  | {
      readonly kind: 'chosen';
      readonly purpose: 'run' | 'reserve' | 'prefill';
      readonly upstream: string;
      /** Number of upstreams that were eligible. */
      readonly candidates: number;
      /**
       * Load of the upstream when it was chosen: the calls of all hosts, or for
       * a prefill the prompt tokens of this host.
       */
      readonly load: number;
      readonly slowness: number;
      readonly waited: number;
    }
  | {
      readonly kind: 'stage-done';
      readonly purpose: 'run' | 'reserve' | 'prefill';
      readonly upstream: string;
      /**
       * Status code of the response, `reserved`, `read` for a computed KV cache, or the
       * kind of the error.
       */
      readonly outcome: string;
      readonly took: number;
    }
  | ({
      readonly kind: 'retried';
      readonly reason: string;
      readonly tries: number;
      readonly pool: string;
      /** Retries acquired; 0 if no upstream can have received the call, or earlier ones do. */
      readonly acquired: number;
    } & RetryBudgetState)
  /** An upstream may have received a call that one has received before. */
  | ({readonly kind: 'repeated'} & Repeat)
  | {
      readonly kind: 'retry-withheld';
      /** Why a retry was needed. */
      readonly reason: string;
      readonly limit: RetryLimit;
    }
  | ({
      readonly kind: 'interrupted';
      readonly upstream: string;
      /** `silent` and `cancelled` were decided by this host. */
      readonly reason: InterruptedResponseError['reason'];
      /** What cancelled the call; empty if nothing has. */
      readonly cause: string;
      readonly softwareVersion: string;
    } & StreamProgress)
  | {
      readonly kind: 'resumed';
      readonly upstream: string;
      readonly afterEvent: number;
      readonly softwareVersion: string;
    }
  /** An interrupted or silent stream does not go on at another engine. */
  | {
      readonly kind: 'not-resumed';
      readonly step: StartStep;
      /** Code of the failure, or kind of the error of the run. */
      readonly reason: string;
    }
  | {
      readonly kind: 'taken-up';
      /** Id of the call that began the stream, as the caller names it. */
      readonly origin: string;
      readonly afterEvent: number;
      /** Pool and version that began the stream; empty if unknown. */
      readonly pool: string;
      readonly softwareVersion: string;
      /** How they are known; empty if unknown. */
      readonly source: SoleOrigin['source'] | '';
      /** Time until they were known. */
      readonly waited: number;
      readonly outcome: 'continued' | ContinuationRefusal;
    }
  /** The version that began a stream is not certain; it will not be continued. */
  | {
      readonly kind: 'version-uncertain';
      readonly upstream: string;
      /** Version in the list when the call was sent. */
      readonly softwareVersion: string;
      /** Version in the next list; empty if it has none. */
      readonly laterVersion: string;
      readonly reason: 'no-list' | 'not-listed' | 'other-process';
    }
  /** An engine is not used for a stream, because its process may be another. */
  | {
      readonly kind: 'other-process';
      readonly upstream: string;
      /** Version in the list when the call was to be sent. */
      readonly softwareVersion: string;
      /** Start of the process in the list; 0 if it has none. */
      readonly listedStart: number;
      /** Start that the process stated; 0 if it stated none. */
      readonly statedStart: number;
    }
  | {
      readonly kind: 'connection-lost';
      readonly upstream: string;
      /** Events that the upstream sent in this attempt. */
      readonly events: number;
      /** Ids of the prompt parts, separated by spaces, without the last part. */
      readonly parts: string;
      /** The same for all repetitions of the request. */
      readonly fingerprint: string;
    }
  /** The limits that the upstreams of a plain call named are reached. */
  | {
      readonly kind: 'limit-reached';
      /** Time until one of them may be sent the call. */
      readonly wait: number;
      /** Calls that are to be sent before this one. */
      readonly ahead: number;
      readonly outcome: 'waits' | 'refused';
    }
  /** A call was refused because it would not start in time by the forecast. */
  | {
      readonly kind: 'queue-refused';
      /** Time until the forecast start; infinite if other calls take all memory. */
      readonly forecast: number;
      readonly waited: number;
      readonly urgency: number;
      /** Tokens of the waiting calls ahead. */
      readonly tokensAhead: number;
    }
  /** A call that was forecast to wait started. */
  | {
      readonly kind: 'queue-left';
      /** Time that it was forecast to wait, and time that it waited. */
      readonly forecast: number;
      readonly waited: number;
    }
  | {
      readonly kind: 'handed-over';
      /** The host that the call was handed over to. */
      readonly peer: string;
      /** Age of the heartbeat by which it was chosen. */
      readonly reportAge: number;
      /** Status code of the response, or the kind of the error. */
      readonly outcome: string;
      /** Time until the head of the response. */
      readonly took: number;
    }
  /** A call was not sent to the upstream that had been chosen for it. */
  | {
      readonly kind: 'send-withheld';
      readonly upstream: string;
      readonly reason: SendRefusal;
    }
  /** A call was refused while some upstreams of its route may not serve it. */
  | {
      readonly kind: 'placement-restricted';
      readonly route: string;
      readonly account: string;
      /** Why they may not: `evacuated`, `region` or both. */
      readonly reason: string;
      /** Upstreams that run calls and may serve the call. */
      readonly eligible: number;
      /** Regions that the route and the account both allow. */
      readonly regions: string;
      /** Failure domains that are evacuated. */
      readonly evacuated: string;
    }
  /** Work of a call goes to another failure domain. */
  | {
      readonly kind: 'domain-left';
      readonly purpose: 'run' | 'reserve' | 'prefill' | 'handover';
      readonly domain: string;
      /** `no-upstream` if the domain chosen had none for this call. */
      readonly reason: LeavingReason | 'no-upstream' | 'handover';
      /** Bytes of the request, or of the cache of a prefill. */
      readonly bytes: number;
    }
  | {
      readonly kind: 'quarantine-refused';
      readonly part: string;
      readonly remaining: number;
    };

/** Receives each decision about the call with the id `call`. */
export type CallObserver = (call: string, event: CallEvent) => void;
