/** Sends requests to other hosts over gRPC, with one channel per peer. */

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

export interface GrpcPeerTransportOptions {
  readonly self: PeerIdentity;
  readonly security: PeerSecurity;
  readonly addressOf: (host: HostId) => string | undefined;
  readonly incarnations: IncarnationRegistry;
  readonly configurationVersion: () => bigint;
  /** Incarnation that a request addresses. Any incarnation if undefined. */
  readonly targetIncarnationOf?: (host: HostId) => Incarnation | undefined;
  /** Maximum number of requests that await replies of one peer. */
  readonly maximumPendingRequests?: number;
  /** Called for each verified reply with the sender's configuration version. */
  readonly onReply?: (from: PeerIdentity, version: bigint) => void;
}

/** A reply with its verified sender. */
export interface VerifiedReply {
  readonly from: PeerIdentity;
  readonly body: PeerReplyBody;
}

const defaultMaximumPendingRequests = 256;

export class GrpcPeerTransport implements PeerTransport {
  /** By host id, or by `seed ADDRESS` for a seed. */
  private readonly channels = new Map<string, PeerChannel>();

  constructor(private readonly options: GrpcPeerTransportOptions) {}

  async exchange(
    host: HostId,
    body: PeerRequestBody,
    timeoutMilliseconds: number,
  ): Promise<Result<PeerReplyBody, PeerError>> {
    const address = this.options.addressOf(host);
    if (address === undefined) return Result.err({kind: 'unreachable', host});
    const channel = this.getOrOpenChannel(host, address, host);
    const reply = await this.send(channel, host, body, timeoutMilliseconds);
    return reply.andThen(verified =>
      verified.from.host === host
        ? Result.ok(verified.body)
        : Result.err({kind: 'malformed', host}),
    );
  }

  /**
   * Sends a request to any host of the fleet that listens at `address`. Used
   * before the members are known. In an error, `host` is the address, because
   * the id of the host is not known yet.
   */
  async exchangeWithSeed(
    address: string,
    body: PeerRequestBody,
    timeoutMilliseconds: number,
  ): Promise<Result<VerifiedReply, PeerError>> {
    const host = hostId(address);
    const channel = this.getOrOpenChannel(
      `seed ${address}`,
      address,
      undefined,
    );
    const reply = await this.send(channel, host, body, timeoutMilliseconds);
    const certified = channel.certifiedHost;
    return reply.andThen(verified =>
      certified === undefined || certified === verified.from.host
        ? Result.ok(verified)
        : Result.err({kind: 'malformed', host}),
    );
  }

  /** Closes the connection to `host`. The next request opens a new one. */
  disconnect(host: HostId): void {
    this.channels.get(host)?.close();
    this.channels.delete(host);
  }

  /** Closes channels to hosts for which `isMember` is false, but not to seeds. */
  closeChannelsExcept(isMember: (host: HostId) => boolean): void {
    for (const key of [...this.channels.keys()])
      if (!key.startsWith('seed ') && !isMember(hostId(key)))
        this.disconnect(hostId(key));
  }

  async close(): Promise<void> {
    for (const channel of this.channels.values()) channel.close();
    this.channels.clear();
  }

  private getOrOpenChannel(
    key: string,
    address: string,
    host: HostId | undefined,
  ): PeerChannel {
    const existing = this.channels.get(key);
    if (existing?.address === address) return existing;
    existing?.close();
    const channel = new PeerChannel(address, this.options.security, host);
    this.channels.set(key, channel);
    return channel;
  }

  private async send(
    channel: PeerChannel,
    host: HostId,
    body: PeerRequestBody,
    timeoutMilliseconds: number,
  ): Promise<Result<VerifiedReply, PeerError>> {
    const {maximumPendingRequests = defaultMaximumPendingRequests} =
      this.options;
    // Both refusals are local: the request was not sent.
    if (channel.pendingRequests >= maximumPendingRequests)
      return createRefusal(host, PeerRefusal_Code.CODE_OVERLOADED);
    const request = this.createRequest(host, body);
    // No code exists for an oversized request.
    if (PeerRequest.encode(request).finish().length > maximumPeerMessageBytes)
      return createRefusal(host, PeerRefusal_Code.CODE_UNSPECIFIED);
    const deadline = Date.now() + timeoutMilliseconds;
    const reply = await channel.exchange(request, deadline);
    if (reply.isErr) return Result.err({kind: reply.error, host});
    return this.verifyReply(host, body, reply.value);
  }

  private createRequest(host: HostId, body: PeerRequestBody): PeerRequest {
    const {self, targetIncarnationOf, configurationVersion} = this.options;
    return {
      fromHost: self.host,
      fromIncarnation: self.incarnation,
      toIncarnation: targetIncarnationOf?.(host) ?? '',
      configurationVersion: configurationVersion(),
      body,
    };
  }

  private verifyReply(
    host: HostId,
    requestBody: PeerRequestBody,
    reply: PeerReply,
  ): Result<VerifiedReply, PeerError> {
    const {body} = reply;
    const from = {
      host: hostId(reply.fromHost),
      incarnation: incarnation(reply.fromIncarnation),
    };
    if (!this.options.incarnations.recordIfCurrent(from))
      return Result.err({kind: 'malformed', host});
    this.options.onReply?.(from, reply.configurationVersion);
    if (body?.$case === 'refusal') return createRefusal(host, body.value.code);
    if (body === undefined || body.$case !== requestBody.$case)
      return Result.err({kind: 'malformed', host});
    return Result.ok({from, body});
  }
}

function createRefusal(
  host: HostId,
  code: PeerRefusal_Code,
): Result<VerifiedReply, PeerError> {
  return Result.err({kind: 'refused', host, code});
}
