/** Sends and receives the messages between hosts as UDP datagrams. */

import {createSocket} from 'node:dgram';
import type {Socket} from 'node:dgram';
import {once} from 'node:events';
import {
  Beat,
  checkHeartbeat,
  checkStreamOriginMessage,
  isHostAddress,
} from '@persimmonwick/coordination';
import type {
  HeartbeatSender,
  RetryLoanMessage,
  StreamOriginMessage,
} from '@persimmonwick/coordination';

export interface HeartbeatSocketParts {
  readonly onHeartbeat: (heartbeat: Beat) => void;
  /** Receives a message about streams from the host at `address`. */
  readonly onStreamOrigin: (
    address: string,
    message: StreamOriginMessage,
  ) => void;
  /** Receives a message about retries from the host at `address`. */
  readonly onRetryLoan: (address: string, message: RetryLoanMessage) => void;
  /**
   * Called when a datagram can't be decoded or sent, and when the socket fails.
   * `address` is the peer's, or the local one if the socket failed.
   */
  readonly onError: (address: string, reason: string) => void;
}

const emptyHeartbeat = Beat.decode(new Uint8Array());

export class HeartbeatSocket implements HeartbeatSender {
  private readonly socket: Socket = createSocket({
    type: 'udp4',
    // Addresses are numbers. A datagram leaves before `send` returns.
    lookup: (hostname, _options, callback) => callback(null, hostname, 4),
  });

  constructor(private readonly parts: HeartbeatSocketParts) {}

  /** Binds to `address` and starts receiving. */
  async listen(address: string): Promise<void> {
    const {host, port} = parseAddress(address);
    this.socket.on('message', (bytes, {address: from, port: fromPort}) =>
      this.receive(bytes, `${from}:${fromPort}`),
    );
    this.socket.on('error', error =>
      this.parts.onError(address, error.message),
    );
    const listening = once(this.socket, 'listening');
    this.socket.bind(port, host);
    await listening;
  }

  /** IP address and port on which heartbeats are received. */
  get address(): string {
    const {address, port} = this.socket.address();
    return `${address}:${port}`;
  }

  sendStreamOrigin(address: string, streamOrigin: StreamOriginMessage): void {
    this.send(address, {...emptyHeartbeat, streamOrigin});
  }

  sendRetryLoan(address: string, retryLoan: RetryLoanMessage): void {
    this.send(address, {...emptyHeartbeat, retryLoan});
  }

  send(address: string, heartbeat: Beat): void {
    // The socket throws for an address that it cannot send to.
    if (!isHostAddress(address)) {
      this.parts.onError(address, 'not an IP address and port');
      return;
    }
    const {host, port} = parseAddress(address);
    // Heartbeats are sent from timers, where an exception would end the process.
    try {
      const bytes = Beat.encode(heartbeat).finish();
      this.socket.send(bytes, port, host, error => {
        if (error !== null) this.parts.onError(address, error.message);
      });
    } catch (error) {
      this.parts.onError(address, String(error));
    }
  }

  close(): void {
    this.socket.close();
  }

  private receive(bytes: Uint8Array, from: string): void {
    let heartbeat: Beat;
    try {
      heartbeat = Beat.decode(bytes);
    } catch (error) {
      this.parts.onError(from, String(error));
      return;
    }
    const {streamOrigin, retryLoan} = heartbeat;
    if (retryLoan !== undefined) {
      this.parts.onRetryLoan(from, retryLoan);
      return;
    }
    if (streamOrigin !== undefined) {
      checkStreamOriginMessage(streamOrigin).match({
        Ok: checked => this.parts.onStreamOrigin(from, checked),
        Err: reason => this.parts.onError(from, reason),
      });
      return;
    }
    checkHeartbeat(heartbeat).match({
      Ok: checked => this.parts.onHeartbeat(checked),
      Err: reason => this.parts.onError(from, reason),
    });
  }
}

function parseAddress(address: string): {host: string; port: number} {
  const [host = '', port = ''] = address.split(':');
  return {host, port: Number(port)};
}
