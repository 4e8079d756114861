/** What the settings of a host say about traffic between failure domains. */

/**
 * Fastest link for which hosts share speeds and weigh traffic between domains.
 * With faster links the traffic is not limited.
 */
const maximumLimitedLinkMegabits = 250;

/** Time to an upstream in another domain and back, in milliseconds. */
export const domainRoundTripMilliseconds = 2.8;

export interface DomainTraffic {
  /** Megabits a second of the link of the host; undefined if not limited. */
  readonly linkMegabits: number | undefined;
  /** All failure domains; may lack that of the host. */
  readonly domains: readonly string[];
  /**
   * Time that one megabyte between domains is worth, because it costs money;
   * undefined if it is not weighed.
   */
  readonly millisecondsPerMegabyte: number | undefined;
}

/** Traffic between failure domains that is weighed against the gain of leaving. */
export interface WeighedTraffic extends DomainTraffic {
  readonly millisecondsPerMegabyte: number;
}

/**
 * Whether traffic between failure domains is limited and weighed, and there are
 * several.
 */
export function isTrafficWeighed(
  traffic: DomainTraffic,
  ownDomain: string,
): traffic is WeighedTraffic {
  const {linkMegabits, domains, millisecondsPerMegabyte} = traffic;
  return (
    millisecondsPerMegabyte !== undefined &&
    linkMegabits !== undefined &&
    linkMegabits <= maximumLimitedLinkMegabits &&
    new Set([...domains, ownDomain]).size > 1
  );
}
