/**
 * A network between hosts in one process, on any clock: it delays, drops,
 * doubles and cuts, as told by a policy.
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

/** What becomes of one message, in either direction. */
export interface Delivery {
  readonly delayMilliseconds: number;
  readonly isDropped: boolean;
  /** Delays of further copies; only requests are copied. */
  readonly copyDelaysMilliseconds: readonly number[];
}

/** Decides about each message from one host to another. */
export type DeliveryPolicy = (from: HostId, to: HostId) => Delivery;

/** Answers all requests that reach a host; undefined gives no answer. */
export type PeerRequestHandler = (
  body: PeerRequestBody,
  from: PeerIdentity,
) => Promise<PeerReplyBody | undefined> | PeerReplyBody;

/** Delivers every message at once. */
export const immediateDelivery: Delivery = {
  delayMilliseconds: 0,
  isDropped: false,
  copyDelaysMilliseconds: [],
};

export class InMemoryNetwork {
  private readonly dispatchers = new Map<HostId, PeerRequestHandler>();
  /** May be replaced while messages are under way. */
  policy: DeliveryPolicy = () => immediateDelivery;

  constructor(private readonly clock: Clock) {}

  /** Makes `host` reachable; replaces what answered for it before. */
  attach(host: HostId, dispatcher: PeerRequestHandler): void {
    this.dispatchers.set(host, dispatcher);
  }

  /** Makes `host` unreachable. */
  detach(host: HostId): void {
    this.dispatchers.delete(host);
  }

  /** The transport of one start of a host. */
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
    const ended = new AbortController();
    const timeout = this.clock
      .sleep(timeoutMilliseconds, ended.signal)
      .then(() => Result.err<PeerReplyBody, PeerError>(timeoutOf(to)));
    const answer = this.roundTrip(from, to, body);
    const result = await Promise.race([answer, timeout]);
    ended.abort();
    return result;
  }

  private async roundTrip(
    from: PeerIdentity,
    to: HostId,
    body: PeerRequestBody,
  ): Promise<Result<PeerReplyBody, PeerError>> {
    const there = this.policy(from.host, to);
    for (const delay of there.copyDelaysMilliseconds)
      void this.clock.sleep(delay).then(() => this.deliver(from, to, body));
    if (there.isDropped) return never();
    await this.clock.sleep(there.delayMilliseconds);
    if (!this.dispatchers.has(to))
      return Result.err({kind: 'unreachable', host: to});
    const reply = await this.deliver(from, to, body);
    const back = this.policy(to, from.host);
    if (back.isDropped || reply === undefined) return never();
    await this.clock.sleep(back.delayMilliseconds);
    return Result.ok(reply);
  }

  private async deliver(
    from: PeerIdentity,
    to: HostId,
    body: PeerRequestBody,
  ): Promise<PeerReplyBody | undefined> {
    return this.dispatchers.get(to)?.(body, from);
  }
}

function timeoutOf(host: HostId): PeerError {
  return {kind: 'timeout', host};
}

function never<Value>(): Promise<Value> {
  return new Promise(() => {});
}
