/**
 * Decides when the silence of an upstream calls for a probe that exchanges bytes,
 * and for how long it may last. Load pattern: links that accept connections and
 * pass no bytes, beside upstreams that are slow or stand still for about a second.
 */

/** Longest time without a byte, for calls with a late target. */
const maximumSilenceMilliseconds = 1000;

/**
 * Shortest such time, also on a route without a first-token target. Under load,
 * calls of services with targets of a tenth of a second are late by several times
 * that, and a suspect upstream gets no calls until it has answered a probe.
 */
const minimumSilenceMilliseconds = 500;

/**
 * Time for the answer to a probe that exchanges bytes. A healthy upstream may
 * stand still for a second, and its link takes as long as a connection.
 */
export const exchangeTimeoutMilliseconds = 1250;

/**
 * Time without an answer after which a probe counts as evidence against the
 * neighbours. Health paths are answered in a few milliseconds.
 */
export const unansweredMilliseconds = 250;

/** Silent upstreams of a failure domain that make its other ones suspect. */
const suspectDomainUpstreams = 2;

/**
 * Minimum interval between two probes of an upstream that answers, and between
 * two probes of all upstreams of a failure domain. Probes that exchange bytes are
 * priced, and slow upstreams cause a suspicion with each slow call.
 */
const exchangeIntervalMilliseconds = 1000;

/** Time without a byte after which a call makes its upstream suspect. */
export function silenceBoundOf(
  firstTokenTargetMilliseconds: number | undefined,
): number {
  const target = firstTokenTargetMilliseconds ?? minimumSilenceMilliseconds;
  return Math.min(
    maximumSilenceMilliseconds,
    Math.max(minimumSilenceMilliseconds, target),
  );
}

export interface SuspectUpstream {
  readonly now: number;
  /** Clock time of the last answer to such a probe; undefined if none. */
  readonly answeredAt: number | undefined;
  /** Path that the upstream answers without work; undefined if none is known. */
  readonly healthPath: string | undefined;
  /** Whether the pause and the limit of the upstream allow a request. */
  readonly canSend: () => boolean;
}

export type SilenceDecision =
  /** Bytes are exchanged at `path`. */
  | {readonly kind: 'exchange'; readonly path: string}
  /** Only a connection can be tried. */
  | {readonly kind: 'connect'}
  /** The upstream has answered lately, or may be sent nothing. */
  | {readonly kind: 'none'};

/** Decides how a suspect upstream is probed. */
export function decideSilenceProbe({
  now,
  answeredAt = -Infinity,
  healthPath,
  canSend,
}: SuspectUpstream): SilenceDecision {
  if (now - answeredAt < exchangeIntervalMilliseconds) return {kind: 'none'};
  if (healthPath === undefined) return {kind: 'connect'};
  return canSend() ? {kind: 'exchange', path: healthPath} : {kind: 'none'};
}

/**
 * Whether the upstreams of a failure domain are to be probed, of which
 * `silentCount` do not answer, and which were last probed at `probedAt`.
 */
export function isDomainSuspect(
  silentCount: number,
  now: number,
  probedAt: number | undefined = -Infinity,
): boolean {
  return (
    silentCount >= suspectDomainUpstreams &&
    now - probedAt >= exchangeIntervalMilliseconds
  );
}
