/** Branded identifier types. The compiler rejects an id of the wrong kind. */

declare const brand: unique symbol;

/** A string that identifies an entity of the kind `Kind`. */
export type Branded<Kind extends string> = string & {readonly [brand]: Kind};

/** Id of a host. A replacement of the host keeps it. */
export type HostId = Branded<'HostId'>;

/** Id of one incarnation of a host. Each start of its process has a new one. */
export type Incarnation = Branded<'Incarnation'>;

/** Name of a failure domain. */
export type FailureDomainId = Branded<'FailureDomainId'>;

/** Name of a client account. */
export type AccountId = Branded<'AccountId'>;

/** Name of an upstream. */
export type UpstreamId = Branded<'UpstreamId'>;

/** Name of a route. */
export type RouteId = Branded<'RouteId'>;

/** Id of one request of a caller, shared by all its attempts. */
export type RequestId = Branded<'RequestId'>;

/** Id of one attempt: a single send of a request to an upstream. */
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
 * The account of callers without a key on open routes. The name is not valid
 * for a document, so it cannot collide with a configured account.
 */
export const anonymousAccount = accountId('(open)');
