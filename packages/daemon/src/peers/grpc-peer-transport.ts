/** Sends requests to other hosts over gRPC, one channel for each peer. */

import {
  PeerRefusal_Code,
  PeerRequest,
  hostId,
  incarnation,
} from '@persimmonwick/coordination';
import type {
  HostId,
  Incarnation,
  PeerError,
  PeerIdentity,
  PeerReply,
  PeerReplyBody,
  PeerRequestBody,
  PeerTransport,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import type {IncarnationRegistry} from './incarnation-registry.js';
import {PeerChannel} from './peer-channel.js';
import {maximumPeerMessageBytes} from './peer-method.js';
import type {PeerSecurity} from './peer-security.js';

/** What a transport works with. */
export interface GrpcPeerTransportOptions {
  readonly self: PeerIdentity;
  readonly security: PeerSecurity;
  readonly addressOf: (host: HostId) => string | undefined;
  readonly incarnations: IncarnationRegistry;
  readonly configurationVersion: () => bigint;
  /** Incarnation that a request is meant for; any when undefined. */
  readonly targetIncarnationOf?: (host: HostId) => Incarnation | undefined;
  /** Calls that may wait for one peer at once. */
  readonly maximumOutstanding?: number;
  /** Told of each checked reply, with the sender's configuration version. */
  readonly onReply?: (from: PeerIdentity, version: bigint) => void;
}

/** A reply with its checked sender. */
export interface SeedReply {
  readonly from: PeerIdentity;
  readonly body: PeerReplyBody;
}

const defaultMaximumOutstanding = 256;

export class GrpcPeerTransport implements PeerTransport {
  private readonly channels = new Map<string, PeerChannel>();

  constructor(private readonly options: GrpcPeerTransportOptions) {}

  async exchange(
    host: HostId,
    body: PeerRequestBody,
    timeoutMilliseconds: number,
  ): Promise<Result<PeerReplyBody, PeerError>> {
    const address = this.options.addressOf(host);
    if (address === undefined) return Result.err({kind: 'unreachable', host});
    const channel = this.channelOf(host, address, host);
    const reply = await this.send(channel, host, body, timeoutMilliseconds);
    return reply.andThen(answer =>
      answer.from.host === host
        ? Result.ok(answer.body)
        : Result.err({kind: 'malformed', host}),
    );
  }

  /**
   * Asks whichever host of the fleet listens at `address`, for a host that
   * does not yet know the members. Errors name the address as the host.
   */
  async exchangeWithSeed(
    address: string,
    body: PeerRequestBody,
    timeoutMilliseconds: number,
  ): Promise<Result<SeedReply, PeerError>> {
    const host = hostId(address);
    const channel = this.channelOf(`seed ${address}`, address, undefined);
    const reply = await this.send(channel, host, body, timeoutMilliseconds);
    const certified = channel.certifiedHost;
    return reply.andThen(answer =>
      certified === undefined || certified === answer.from.host
        ? Result.ok(answer)
        : Result.err({kind: 'malformed', host}),
    );
  }

  /** Drops the connection to `host`; the next request opens a new one. */
  reconnect(host: HostId): void {
    this.channels.get(host)?.close();
    this.channels.delete(host);
  }

  /** Closes connections to hosts that `isKnown` denies. */
  forgetUnless(isKnown: (host: HostId) => boolean): void {
    for (const key of [...this.channels.keys()])
      if (!key.startsWith('seed ') && !isKnown(hostId(key)))
        this.reconnect(hostId(key));
  }

  async close(): Promise<void> {
    for (const channel of this.channels.values()) channel.close();
    this.channels.clear();
  }

  private channelOf(
    key: string,
    address: string,
    host: HostId | undefined,
  ): PeerChannel {
    const known = this.channels.get(key);
    if (known?.address === address) return known;
    known?.close();
    const channel = new PeerChannel(address, this.options.security, host);
    this.channels.set(key, channel);
    return channel;
  }

  private async send(
    channel: PeerChannel,
    host: HostId,
    body: PeerRequestBody,
    timeoutMilliseconds: number,
  ): Promise<Result<SeedReply, PeerError>> {
    const {maximumOutstanding = defaultMaximumOutstanding} = this.options;
    if (channel.outstanding >= maximumOutstanding)
      return refused(host, PeerRefusal_Code.CODE_OVERLOADED);
    const request = this.describe(host, body);
    if (PeerRequest.encode(request).finish().length > maximumPeerMessageBytes)
      return refused(host, PeerRefusal_Code.CODE_UNSPECIFIED);
    const deadline = Date.now() + timeoutMilliseconds;
    const reply = await channel.exchange(request, deadline);
    if (reply.isErr) return Result.err({kind: reply.error, host});
    return this.check(host, body, reply.value);
  }

  private describe(host: HostId, body: PeerRequestBody): PeerRequest {
    const {self, targetIncarnationOf, configurationVersion} = this.options;
    return {
      fromHost: self.host,
      fromIncarnation: self.incarnation,
      toIncarnation: targetIncarnationOf?.(host) ?? '',
      configurationVersion: configurationVersion(),
      body,
    };
  }

  private check(
    host: HostId,
    asked: PeerRequestBody,
    reply: PeerReply,
  ): Result<SeedReply, PeerError> {
    const {body} = reply;
    const from = {
      host: hostId(reply.fromHost),
      incarnation: incarnation(reply.fromIncarnation),
    };
    if (!this.options.incarnations.admit(from))
      return Result.err({kind: 'malformed', host});
    this.options.onReply?.(from, reply.configurationVersion);
    if (body?.$case === 'refusal') return refused(host, body.value.code);
    if (body === undefined || body.$case !== asked.$case)
      return Result.err({kind: 'malformed', host});
    return Result.ok({from, body});
  }
}

function refused(
  host: HostId,
  code: PeerRefusal_Code,
): Result<SeedReply, PeerError> {
  return Result.err({kind: 'refused', host, code});
}
