/** Branded identifiers, so that one kind of id is never passed for another. */

declare const brand: unique symbol;

/** A string that is known to name one kind of thing. */
export type Branded<Kind extends string> = string & {readonly [brand]: Kind};

/** Id of a host; a replaced host keeps it. */
export type HostId = Branded<'HostId'>;

/** One start of a host; a restarted host has a new one. */
export type Incarnation = Branded<'Incarnation'>;

/** Name of a failure domain. */
export type FailureDomainId = Branded<'FailureDomainId'>;

/** Name of a client account. */
export type AccountId = Branded<'AccountId'>;

/** Name of an upstream. */
export type UpstreamId = Branded<'UpstreamId'>;

/** Name of a route. */
export type RouteId = Branded<'RouteId'>;

/** Id of one request of a caller, over all its attempts. */
export type RequestId = Branded<'RequestId'>;

/** Id of one attempt to run a request. */
export type AttemptId = Branded<'AttemptId'>;

export const hostId = (text: string) => text as HostId;
export const incarnation = (text: string) => text as Incarnation;
export const failureDomainId = (text: string) => text as FailureDomainId;
export const accountId = (text: string) => text as AccountId;
export const upstreamId = (text: string) => text as UpstreamId;
export const routeId = (text: string) => text as RouteId;
export const requestId = (text: string) => text as RequestId;
export const attemptId = (text: string) => text as AttemptId;

/**
 * Stands for callers without a key, on routes open to all. No document can have
 * this name.
 */
export const anonymousAccount = accountId('(open)');
