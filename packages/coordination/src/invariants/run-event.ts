/**
 * What is recorded of a run, so that the conditions of the product can be
 * checked after it. Times are in milliseconds on one clock that the recorder
 * keeps; hosts don't share it.
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

/** Names a request that may not be repeated. */
export interface AtMostOnceKey {
  readonly account: AccountId;
  readonly route: RouteId;
  readonly idempotencyKey: string;
}

/** How a caller's request ended, as the caller saw it. */
export type CallerAnswer =
  | {readonly kind: 'whole'; readonly tokens: number}
  | {readonly kind: 'failed'; readonly ran: ExecutionState}
  | {readonly kind: 'cut'};

/** One thing that happened in a run. */
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
      /** Hosts that can be reached and so have to follow in time. */
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
      /** The key itself; recorded runs use made-up keys. Absent without one. */
      readonly key: string | undefined;
      readonly isRouteOpen: boolean;
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
      /** A prefill whose result no decode followed has not run the request. */
      readonly phase: 'prefill' | 'decode' | 'call';
      /** Everything that the upstream was sent, as text. */
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
      /** The request that the token was made for. */
      readonly madeFor: RequestId;
    }
  | {
      readonly kind: 'request-answered';
      readonly request: RequestId;
      readonly answer: CallerAnswer;
    }
  | {readonly kind: 'run-ended'}
);

/** One kind of event. */
export type RunEventOf<Kind extends RunEvent['kind']> = Extract<
  RunEvent,
  {kind: Kind}
>;

/** The events of one kind, in their order. */
export function eventsOf<Kind extends RunEvent['kind']>(
  events: readonly RunEvent[],
  kind: Kind,
): RunEventOf<Kind>[] {
  return events.filter(
    (event): event is RunEventOf<Kind> => event.kind === kind,
  );
}
