/**
 * An in-process network between hosts that runs on any clock. A delivery policy
 * decides which messages are delayed, dropped or duplicated.
 */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {HostId} from '../ids.js';
import type {
  PeerError,
  PeerIdentity,
  PeerReplyBody,
  PeerRequestBody,
  PeerTransport,
} from '../peers/transport.js';

/** How one message is delivered, in either direction. */
export interface Delivery {
  readonly delayMilliseconds: number;
  readonly isDropped: boolean;
  /** Delays of duplicates. Only requests are duplicated. */
  readonly copyDelaysMilliseconds: readonly number[];
}

/** Decides how a message from one host to another is delivered. */
export type DeliveryPolicy = (from: HostId, to: HostId) => Delivery;

/** Handles the requests that reach a host. Undefined sends no reply. */
export type PeerRequestHandler = (
  body: PeerRequestBody,
  from: PeerIdentity,
) => Promise<PeerReplyBody | undefined> | PeerReplyBody;

/** Delivers a message once and without delay. */
export const immediateDelivery: Delivery = {
  delayMilliseconds: 0,
  isDropped: false,
  copyDelaysMilliseconds: [],
};

export class InMemoryNetwork {
  private readonly handlers = new Map<HostId, PeerRequestHandler>();
  /** May be replaced while messages are in transit. */
  policy: DeliveryPolicy = () => immediateDelivery;

  constructor(private readonly clock: Clock) {}

  /** Makes `host` reachable and replaces its previous handler, if any. */
  attach(host: HostId, handler: PeerRequestHandler): void {
    this.handlers.set(host, handler);
  }

  /** Makes `host` unreachable. */
  detach(host: HostId): void {
    this.handlers.delete(host);
  }

  /** Returns the transport of one incarnation of a host. */
  transportOf(identity: PeerIdentity): PeerTransport {
    return {
      exchange: (host, body, timeoutMilliseconds) =>
        this.exchange(identity, host, body, timeoutMilliseconds),
    };
  }

  private async exchange(
    from: PeerIdentity,
    to: HostId,
    body: PeerRequestBody,
    timeoutMilliseconds: number,
  ): Promise<Result<PeerReplyBody, PeerError>> {
    const settled = new AbortController();
    const timeout = this.clock
      .sleep(timeoutMilliseconds, settled.signal)
      .then(() => Result.err<PeerReplyBody, PeerError>(timeoutError(to)));
    const reply = this.roundTrip(from, to, body);
    const result = await Promise.race([reply, timeout]);
    settled.abort();
    return result;
  }

  private async roundTrip(
    from: PeerIdentity,
    to: HostId,
    body: PeerRequestBody,
  ): Promise<Result<PeerReplyBody, PeerError>> {
    const requestDelivery = this.policy(from.host, to);
    for (const delay of requestDelivery.copyDelaysMilliseconds)
      void this.clock.sleep(delay).then(() => this.deliver(from, to, body));
    if (requestDelivery.isDropped) return neverSettles();
    await this.clock.sleep(requestDelivery.delayMilliseconds);
    if (!this.handlers.has(to))
      return Result.err({kind: 'unreachable', host: to});
    const reply = await this.deliver(from, to, body);
    const replyDelivery = this.policy(to, from.host);
    if (replyDelivery.isDropped || reply === undefined) return neverSettles();
    await this.clock.sleep(replyDelivery.delayMilliseconds);
    return Result.ok(reply);
  }

  private async deliver(
    from: PeerIdentity,
    to: HostId,
    body: PeerRequestBody,
  ): Promise<PeerReplyBody | undefined> {
    return this.handlers.get(to)?.(body, from);
  }
}

function timeoutError(host: HostId): PeerError {
  return {kind: 'timeout', host};
}

function neverSettles<Value>(): Promise<Value> {
  return new Promise(() => {});
}
