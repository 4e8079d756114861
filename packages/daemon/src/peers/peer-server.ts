/** Answers requests from other hosts after authenticating their senders. */

import {Server, status} from '@grpc/grpc-js';
import type {ServerUnaryCall, ServiceError, sendUnaryData} from '@grpc/grpc-js';
import {
  PeerRefusal_Code,
  hostId,
  incarnation,
} from '@persimmonwick/coordination';
import type {
  HostId,
  PeerHandler,
  PeerIdentity,
  PeerReply,
  PeerReplyBody,
  PeerRequest,
  PeerRequestBody,
} from '@persimmonwick/coordination';
import type {IncarnationRegistry} from './incarnation-registry.js';
import {exchangeMethod, maximumPeerMessageBytes} from './peer-method.js';
import type {PeerSecurity} from './peer-security.js';
import {serverCredentialsOf} from './peer-security.js';

/** Kind of a request. Its reply has the same kind or is a refusal. */
export type PeerRequestKind = PeerRequestBody['$case'];

type RequestOf<Kind extends PeerRequestKind> = Extract<
  PeerRequestBody,
  {$case: Kind}
>['value'];
type ReplyOf<Kind extends PeerRequestKind> = Extract<
  PeerReplyBody,
  {$case: Kind}
>['value'];

/** Handlers by kind of request. Requests of a kind without handler are refused. */
export type PeerHandlers = {
  readonly [Kind in PeerRequestKind]?: PeerHandler<
    RequestOf<Kind>,
    ReplyOf<Kind>
  >;
};

export interface PeerServerOptions {
  readonly address: string;
  readonly security: PeerSecurity;
  readonly self: PeerIdentity;
  readonly handlers: PeerHandlers;
  readonly incarnations: IncarnationRegistry;
  /**
   * True for hosts in the current or the previous list of members. Requests from
   * other hosts are refused.
   */
  readonly isKnownHost: (host: HostId) => boolean;
  readonly configurationVersion: () => bigint;
  /** Maximum number of concurrent requests from all senders. */
  readonly maximumConcurrentRequests?: number;
  /** Maximum number of concurrent requests from one sender. */
  readonly maximumConcurrentRequestsPerHost?: number;
  /** Called for each refusal. */
  readonly onRefusal?: (host: string, code: PeerRefusal_Code) => void;
}

const defaultMaximumConcurrentRequests = 1024;
const defaultMaximumConcurrentRequestsPerHost = 256;
const shutdownTimeoutMilliseconds = 1000;

export class PeerServer {
  private readonly server = new Server({
    'grpc.max_receive_message_length': maximumPeerMessageBytes,
    'grpc.max_send_message_length': maximumPeerMessageBytes,
    'grpc.keepalive_time_ms': 30_000,
    'grpc.keepalive_timeout_ms': 5000,
  });
  private readonly activeRequests = new Map<HostId, number>();
  private totalActiveRequests = 0;
  private boundAddress = '';

  constructor(private readonly options: PeerServerOptions) {
    this.server.addService(
      {exchange: exchangeMethod},
      {
        exchange: (
          call: ServerUnaryCall<PeerRequest, PeerReply>,
          callback: sendUnaryData<PeerReply>,
        ) => void this.handleRequest(call, callback),
      },
    );
  }

  /** IP address and port. Empty until the server listens. */
  get address(): string {
    return this.boundAddress;
  }

  /** Starts listening. Rejects if the address is in use. */
  async listen(): Promise<void> {
    const {address, security} = this.options;
    const port = await new Promise<number>((resolve, reject) =>
      this.server.bindAsync(
        address,
        serverCredentialsOf(security),
        (error, bound) => (error === null ? resolve(bound) : reject(error)),
      ),
    );
    this.boundAddress = `${address.split(':')[0]}:${port}`;
  }

  /** Waits a limited time for requests in progress, then closes connections. */
  async close(): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(() => {
        this.server.forceShutdown();
        resolve();
      }, shutdownTimeoutMilliseconds);
      this.server.tryShutdown(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private async handleRequest(
    call: ServerUnaryCall<PeerRequest, PeerReply>,
    callback: sendUnaryData<PeerReply>,
  ): Promise<void> {
    const refusal = this.validateRequest(call);
    if (refusal !== undefined) {
      this.options.onRefusal?.(call.request.fromHost, refusal);
      callback(null, this.createReply(createRefusalBody(refusal)));
      return;
    }
    const from = senderOf(call.request);
    this.adjustActiveRequests(from.host, 1);
    try {
      callback(
        null,
        this.createReply(await this.dispatch(call.request.body, from)),
      );
    } catch {
      const failure: Partial<ServiceError> = {
        code: status.INTERNAL,
        details: 'the handler of the request failed',
      };
      callback(failure);
    } finally {
      this.adjustActiveRequests(from.host, -1);
    }
  }

  /**
   * Validates the sender, records its incarnation, and returns a refusal code if
   * the request can't be handled.
   */
  private validateRequest(
    call: ServerUnaryCall<PeerRequest, PeerReply>,
  ): PeerRefusal_Code | undefined {
    const {self, incarnations, isKnownHost} = this.options;
    const {toIncarnation} = call.request;
    const from = senderOf(call.request);
    if (!isKnownHost(from.host) || !this.isAuthenticated(call, from.host))
      return PeerRefusal_Code.CODE_UNKNOWN_SENDER;
    if (!incarnations.recordIfCurrent(from))
      return PeerRefusal_Code.CODE_REPLACED_SENDER;
    if (toIncarnation !== '' && toIncarnation !== self.incarnation)
      return PeerRefusal_Code.CODE_WRONG_INCARNATION;
    return this.isOverloadedFor(from.host)
      ? PeerRefusal_Code.CODE_OVERLOADED
      : undefined;
  }

  /** With mutual TLS, a sender must be the host named in its certificate. */
  private isAuthenticated(
    call: ServerUnaryCall<PeerRequest, PeerReply>,
    host: HostId,
  ): boolean {
    if (this.options.security.kind === 'plain') return true;
    const certificate = call.getAuthContext().sslPeerCertificate;
    return certificate !== undefined && certificate.subject.CN === host;
  }

  private isOverloadedFor(host: HostId): boolean {
    const {
      maximumConcurrentRequests = defaultMaximumConcurrentRequests,
      maximumConcurrentRequestsPerHost = defaultMaximumConcurrentRequestsPerHost,
    } = this.options;
    return (
      this.totalActiveRequests >= maximumConcurrentRequests ||
      (this.activeRequests.get(host) ?? 0) >= maximumConcurrentRequestsPerHost
    );
  }

  private adjustActiveRequests(host: HostId, change: 1 | -1): void {
    this.totalActiveRequests += change;
    const count = (this.activeRequests.get(host) ?? 0) + change;
    if (count === 0) this.activeRequests.delete(host);
    else this.activeRequests.set(host, count);
  }

  private async dispatch(
    body: PeerRequest['body'],
    from: PeerIdentity,
  ): Promise<PeerReplyBody> {
    const {handlers} = this.options;
    switch (body?.$case) {
      case 'fleet':
        return handle('fleet', handlers.fleet, body.value, from);
      case 'configuration':
        return handle(
          'configuration',
          handlers.configuration,
          body.value,
          from,
        );
      case 'limit':
        return handle('limit', handlers.limit, body.value, from);
      case 'claim':
        return handle('claim', handlers.claim, body.value, from);
      case 'lease':
        return handle('lease', handlers.lease, body.value, from);
      case 'ownership':
        return handle('ownership', handlers.ownership, body.value, from);
      // The body is empty or has a kind that this release doesn't know.
      case undefined:
        return createRefusalBody(PeerRefusal_Code.CODE_NOT_READY);
    }
  }

  private createReply(body: PeerReplyBody): PeerReply {
    const {self, configurationVersion} = this.options;
    return {
      fromHost: self.host,
      fromIncarnation: self.incarnation,
      configurationVersion: configurationVersion(),
      body,
    };
  }
}

async function handle<Kind extends PeerRequestKind>(
  kind: Kind,
  handler: PeerHandler<RequestOf<Kind>, ReplyOf<Kind>> | undefined,
  request: RequestOf<Kind>,
  from: PeerIdentity,
): Promise<PeerReplyBody> {
  if (handler === undefined)
    return createRefusalBody(PeerRefusal_Code.CODE_NOT_READY);
  const value = await handler.handle(request, from);
  return {$case: kind, value} as PeerReplyBody;
}

function senderOf(request: PeerRequest): PeerIdentity {
  return {
    host: hostId(request.fromHost),
    incarnation: incarnation(request.fromIncarnation),
  };
}

function createRefusalBody(code: PeerRefusal_Code): PeerReplyBody {
  return {$case: 'refusal', value: {code}};
}
