/** A gRPC connection to one peer. */

import {Client, Metadata, connectivityState, status} from '@grpc/grpc-js';
import type {ChannelOptions, ServiceError} from '@grpc/grpc-js';
import type {HostId, PeerReply, PeerRequest} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import {exchangeMethod, maximumPeerMessageBytes} from './peer-method.js';
import type {PeerSecurity} from './peer-security.js';
import {channelCredentialsOf} from './peer-security.js';

/**
 * Why a channel returned no reply. Only `unreachable` proves that the peer did
 * not receive the request.
 */
export type ChannelError = 'unreachable' | 'timeout' | 'malformed';

const channelOptions: ChannelOptions = {
  'grpc.max_receive_message_length': maximumPeerMessageBytes,
  'grpc.max_send_message_length': maximumPeerMessageBytes,
  'grpc.enable_retries': 0,
  // A shared pool would reuse a dropped connection for the next channel.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.keepalive_time_ms': 10_000,
  'grpc.keepalive_timeout_ms': 2000,
  'grpc.enable_http_proxy': 0,
  // IP addresses are not allowed as TLS server names.
  'grpc.ssl_target_name_override': 'peer.persimmonwick',
};

export class PeerChannel {
  private readonly client: Client;
  private certificateName: HostId | undefined;
  /** Number of requests that await replies. */
  pendingRequests = 0;

  /** Without `host`, the peer at `address` may be any host of the fleet. */
  constructor(
    readonly address: string,
    security: PeerSecurity,
    host?: HostId,
  ) {
    const credentials = channelCredentialsOf(security, commonName => {
      this.certificateName = commonName;
      return host === undefined || commonName === host;
    });
    this.client = new Client(address, credentials, channelOptions);
  }

  /**
   * Host named in the certificate of the peer. Undefined before the handshake and
   * without TLS.
   */
  get certifiedHost(): HostId | undefined {
    return this.certificateName;
  }

  close(): void {
    this.client.close();
  }

  /**
   * Sends `request` once and awaits the reply until `deadline`, in milliseconds
   * since the epoch.
   */
  async exchange(
    request: PeerRequest,
    deadline: number,
  ): Promise<Result<PeerReply, ChannelError>> {
    this.pendingRequests += 1;
    try {
      // Nothing is sent before the channel is ready. A failure to connect
      // therefore proves that the peer has not received the request.
      const isConnected = await this.connect(deadline);
      if (!isConnected) return Result.err('unreachable');
      return await this.sendRequest(request, deadline);
    } finally {
      this.pendingRequests -= 1;
    }
  }

  private async connect(deadline: number): Promise<boolean> {
    const channel = this.client.getChannel();
    for (;;) {
      const state = channel.getConnectivityState(true);
      switch (state) {
        case connectivityState.READY:
          return true;
        case connectivityState.TRANSIENT_FAILURE:
        case connectivityState.SHUTDOWN:
          return false;
        case connectivityState.IDLE:
        case connectivityState.CONNECTING: {
          const error = await new Promise<Error | undefined>(resolve =>
            channel.watchConnectivityState(state, deadline, resolve),
          );
          if (error != null) return false;
        }
      }
    }
  }

  private sendRequest(
    request: PeerRequest,
    deadline: number,
  ): Promise<Result<PeerReply, ChannelError>> {
    return new Promise(resolve => {
      this.client.makeUnaryRequest(
        exchangeMethod.path,
        exchangeMethod.requestSerialize,
        exchangeMethod.responseDeserialize,
        request,
        new Metadata(),
        {deadline},
        (error, reply) =>
          resolve(
            error === null && reply !== undefined
              ? Result.ok(reply)
              : Result.err(channelErrorOf(error)),
          ),
      );
    });
  }
}

/**
 * Maps the gRPC status of a request that was sent. None maps to `unreachable`,
 * because the peer may have executed the request. A lost connection maps to
 * `timeout`, because no reply will arrive.
 */
function channelErrorOf(error: ServiceError | null): ChannelError {
  switch (error?.code) {
    case status.DEADLINE_EXCEEDED:
    case status.UNAVAILABLE:
    case status.CANCELLED:
      return 'timeout';
    default:
      return 'malformed';
  }
}
