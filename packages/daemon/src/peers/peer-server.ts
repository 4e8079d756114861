/** Answers the requests of other hosts, after checking who sends them. */

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

/** Name of the part of the system that a message belongs to. */
export type PeerArea = PeerRequestBody['$case'];

type RequestOf<Area extends PeerArea> = Extract<
  PeerRequestBody,
  {$case: Area}
>['value'];
type ReplyOf<Area extends PeerArea> = Extract<
  PeerReplyBody,
  {$case: Area}
>['value'];

/** The handler of each area; requests of absent areas are refused. */
export type PeerHandlers = {
  readonly [Area in PeerArea]?: PeerHandler<RequestOf<Area>, ReplyOf<Area>>;
};

/** What a peer server works with. */
export interface PeerServerOptions {
  readonly address: string;
  readonly security: PeerSecurity;
  readonly self: PeerIdentity;
  readonly handlers: PeerHandlers;
  readonly incarnations: IncarnationRegistry;
  /** True for members of the fleet and for hosts that the settings name. */
  readonly isKnownHost: (host: HostId) => boolean;
  readonly configurationVersion: () => bigint;
  /** Requests in work at once, over all senders. */
  readonly maximumConcurrent?: number;
  /** Requests in work at once for one sender. */
  readonly maximumConcurrentPerHost?: number;
  /** Told of each refusal, for the log. */
  readonly onRefusal?: (host: string, code: PeerRefusal_Code) => void;
}

const defaultMaximumConcurrent = 1024;
const defaultMaximumConcurrentPerHost = 256;
const shutdownMilliseconds = 1000;

export class PeerServer {
  private readonly server = new Server({
    'grpc.max_receive_message_length': maximumPeerMessageBytes,
    'grpc.max_send_message_length': maximumPeerMessageBytes,
    'grpc.keepalive_time_ms': 30_000,
    'grpc.keepalive_timeout_ms': 5000,
  });
  private readonly inWork = new Map<HostId, number>();
  private totalInWork = 0;
  private boundAddress = '';

  constructor(private readonly options: PeerServerOptions) {
    this.server.addService(
      {exchange: exchangeMethod},
      {
        exchange: (
          call: ServerUnaryCall<PeerRequest, PeerReply>,
          done: sendUnaryData<PeerReply>,
        ) => void this.answer(call, done),
      },
    );
  }

  /** IP address and port, known once the server listens. */
  get address(): string {
    return this.boundAddress;
  }

  /** Listens; rejects when the address is taken. */
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

  /** Lets answers in work go out for a moment, then drops the connections. */
  async close(): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(() => {
        this.server.forceShutdown();
        resolve();
      }, shutdownMilliseconds);
      this.server.tryShutdown(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private async answer(
    call: ServerUnaryCall<PeerRequest, PeerReply>,
    done: sendUnaryData<PeerReply>,
  ): Promise<void> {
    const refusal = this.findRefusal(call);
    if (refusal !== undefined) {
      this.options.onRefusal?.(call.request.fromHost, refusal);
      done(null, this.reply(refusalBody(refusal)));
      return;
    }
    const from = senderOf(call.request);
    this.count(from.host, 1);
    try {
      done(null, this.reply(await this.dispatch(call.request.body, from)));
    } catch {
      const failure: Partial<ServiceError> = {
        code: status.INTERNAL,
        details: 'the handler failed',
      };
      done(failure);
    } finally {
      this.count(from.host, -1);
    }
  }

  private findRefusal(
    call: ServerUnaryCall<PeerRequest, PeerReply>,
  ): PeerRefusal_Code | undefined {
    const {self, incarnations, isKnownHost} = this.options;
    const {toIncarnation} = call.request;
    const from = senderOf(call.request);
    if (!isKnownHost(from.host) || !this.isCertified(call, from.host))
      return PeerRefusal_Code.CODE_UNKNOWN_SENDER;
    if (!incarnations.admit(from)) return PeerRefusal_Code.CODE_REPLACED_SENDER;
    if (toIncarnation !== '' && toIncarnation !== self.incarnation)
      return PeerRefusal_Code.CODE_WRONG_INCARNATION;
    return this.isOverloadedFor(from.host)
      ? PeerRefusal_Code.CODE_OVERLOADED
      : undefined;
  }

  /** Under mutual TLS a sender speaks only for the host of its certificate. */
  private isCertified(
    call: ServerUnaryCall<PeerRequest, PeerReply>,
    host: HostId,
  ): boolean {
    if (this.options.security.kind === 'plain') return true;
    const certificate = call.getAuthContext().sslPeerCertificate;
    return certificate !== undefined && certificate.subject.CN === host;
  }

  private isOverloadedFor(host: HostId): boolean {
    const {
      maximumConcurrent = defaultMaximumConcurrent,
      maximumConcurrentPerHost = defaultMaximumConcurrentPerHost,
    } = this.options;
    return (
      this.totalInWork >= maximumConcurrent ||
      (this.inWork.get(host) ?? 0) >= maximumConcurrentPerHost
    );
  }

  private count(host: HostId, change: 1 | -1): void {
    this.totalInWork += change;
    const count = (this.inWork.get(host) ?? 0) + change;
    if (count === 0) this.inWork.delete(host);
    else this.inWork.set(host, count);
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
      case undefined:
        return refusalBody(PeerRefusal_Code.CODE_NOT_READY);
    }
  }

  private reply(body: PeerReplyBody): PeerReply {
    const {self, configurationVersion} = this.options;
    return {
      fromHost: self.host,
      fromIncarnation: self.incarnation,
      configurationVersion: configurationVersion(),
      body,
    };
  }
}

async function handle<Area extends PeerArea>(
  area: Area,
  handler: PeerHandler<RequestOf<Area>, ReplyOf<Area>> | undefined,
  request: RequestOf<Area>,
  from: PeerIdentity,
): Promise<PeerReplyBody> {
  if (handler === undefined)
    return refusalBody(PeerRefusal_Code.CODE_NOT_READY);
  const value = await handler.handle(request, from);
  return {$case: area, value} as PeerReplyBody;
}

function senderOf(request: PeerRequest): PeerIdentity {
  return {
    host: hostId(request.fromHost),
    incarnation: incarnation(request.fromIncarnation),
  };
}

function refusalBody(code: PeerRefusal_Code): PeerReplyBody {
  return {$case: 'refusal', value: {code}};
}
