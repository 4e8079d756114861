/**
 * The recorded events of a run, which the invariants are checked against after
 * the run. All times are in milliseconds on the clock of the recorder, which is
 * independent of the clocks of the hosts.
 */

import type {
  AccountId,
  AttemptId,
  HostId,
  RequestId,
  RouteId,
  UpstreamId,
} from '../ids.js';
import type {ExecutionState} from '../requests/failure.js';

/** Identifies a request that must be executed at most once. */
export interface AtMostOnceKey {
  readonly account: AccountId;
  readonly route: RouteId;
  readonly idempotencyKey: string;
}

/** The outcome of a request from the view of its caller. */
export type CallerAnswer =
  | {readonly kind: 'whole'; readonly tokens: number}
  | {readonly kind: 'failed'; readonly ran: ExecutionState}
  /** The answer was aborted before its end. */
  | {readonly kind: 'cut'};

/** One recorded event. */
export type RunEvent = {readonly at: number} & (
  | {
      readonly kind: 'limit-published';
      readonly account: AccountId;
      readonly rateTokensPerSecond: number;
      readonly burstTokens: number;
    }
  | {
      readonly kind: 'key-published';
      readonly key: string;
      readonly account: AccountId;
    }
  | {readonly kind: 'key-withdrawn'; readonly key: string}
  | {readonly kind: 'upstream-leaving'; readonly upstream: UpstreamId}
  | {
      readonly kind: 'version-published';
      readonly version: bigint;
      /** The reachable hosts, which have to activate the version in time. */
      readonly hosts: readonly HostId[];
    }
  | {
      readonly kind: 'version-in-force';
      readonly host: HostId;
      readonly version: bigint;
    }
  | {readonly kind: 'drain-started'; readonly host: HostId}
  | {readonly kind: 'host-lost'; readonly host: HostId}
  | {
      readonly kind: 'request-received';
      readonly request: RequestId;
      readonly host: HostId;
      /** The plain key, if any. Recorded runs use generated test keys only. */
      readonly key: string | undefined;
      readonly isKeyOptional: boolean;
      readonly atMostOnceKey: AtMostOnceKey | undefined;
    }
  | {
      readonly kind: 'tokens-used';
      readonly account: AccountId;
      readonly tokens: number;
    }
  | {
      readonly kind: 'upstream-ran';
      readonly upstream: UpstreamId;
      readonly request: RequestId;
      readonly account: AccountId | undefined;
      /** A prefill without a following decode does not execute the request. */
      readonly phase: 'prefill' | 'decode' | 'call';
      /** The complete content sent to the upstream, as text. */
      readonly sent: string;
    }
  | {
      readonly kind: 'memory-held';
      readonly upstream: UpstreamId;
      readonly attempt: AttemptId;
      readonly request: RequestId;
    }
  | {
      readonly kind: 'memory-freed';
      readonly upstream: UpstreamId;
      readonly attempt: AttemptId;
    }
  | {
      readonly kind: 'token-delivered';
      readonly request: RequestId;
      readonly offset: number;
      /** The request that the token was generated for. */
      readonly madeFor: RequestId;
    }
  | {
      readonly kind: 'request-answered';
      readonly request: RequestId;
      readonly answer: CallerAnswer;
    }
  | {readonly kind: 'run-ended'}
);

/** The events of one kind. */
export type RunEventOf<Kind extends RunEvent['kind']> = Extract<
  RunEvent,
  {kind: Kind}
>;

/** Returns the events of one kind in their original order. */
export function eventsOf<Kind extends RunEvent['kind']>(
  events: readonly RunEvent[],
  kind: Kind,
): RunEventOf<Kind>[] {
  return events.filter(
    (event): event is RunEventOf<Kind> => event.kind === kind,
  );
}
