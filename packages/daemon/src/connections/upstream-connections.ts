/**
 * Pool of connections to upstreams, each carrying one call at a time. An idle
 * connection is reused only shortly after its last response, because later the
 * upstream may have closed it or dropped its connection state.
 */

import type {Clock} from '@persimmonwick/coordination';
import {Client} from 'undici';
import {ReadTurns} from './read-turns.js';
import {UpstreamSocket} from './upstream-socket.js';

/** A connection in use by one call. */
export interface UpstreamConnection {
  readonly client: Client;
  readonly connectTimeoutMilliseconds: number;
  /**
   * True when the socket ended with an error. A response without a length that
   * ends this way is truncated, but the HTTP client reports it as complete.
   */
  readonly hasSocketFailed: () => boolean;
  /** Records that the final head has arrived. */
  recordHead(): void;
  /** Records that data of the body has arrived. */
  recordData(bytes: number): void;
  /** Stops reading from the connection until `resumeReading` is called. */
  pauseReading(): void;
  /** Has no effect once the connection was released or destroyed. */
  resumeReading(): void;
  /** Returns the connection to the pool after a complete, valid response. */
  release(): void;
  /** Closes the connection at once and fails the call in flight. */
  destroy(): void;
}

/** Longest idle time after which a connection is reused. */
const maximumIdleMilliseconds = 1000;

export interface ConnectionLimits {
  /** Idle connections kept per upstream address. */
  readonly maximumIdleConnections: number;
  readonly connectTimeoutMilliseconds: number;
}

/** Timeout of connecting, which takes a few milliseconds in a data centre. */
export const connectTimeoutMilliseconds = 250;

const defaultLimits: ConnectionLimits = {
  maximumIdleConnections: 4,
  connectTimeoutMilliseconds,
};

/** Interval at which expired idle connections are closed. */
const sweepIntervalMilliseconds = 1000;

interface IdleConnection {
  readonly client: Client;
  readonly idleSince: number;
}

export class UpstreamConnections {
  private readonly idleConnections = new Map<string, IdleConnection[]>();
  private readonly openClients = new Set<Client>();
  private readonly clientsWithFailedSocket = new WeakSet<Client>();
  private readonly sockets = new WeakMap<Client, UpstreamSocket>();
  private readonly turns = new ReadTurns();
  private readonly sweepTimer: NodeJS.Timeout;
  /** Number of connections opened since the start. */
  openedCount = 0;

  constructor(
    private readonly clock: Clock,
    private readonly limits: ConnectionLimits = defaultLimits,
  ) {
    this.sweepTimer = setInterval(
      () => this.closeExpired(),
      sweepIntervalMilliseconds,
    );
    this.sweepTimer.unref();
  }

  /** Returns a connection to `address`; a new one if `requiresNew`. */
  acquire(address: string, needsNewConnection: boolean): UpstreamConnection {
    const client =
      (needsNewConnection ? undefined : this.acquireIdle(address)) ??
      this.connect(address);
    let isReleased = false;
    return {
      client,
      connectTimeoutMilliseconds: this.limits.connectTimeoutMilliseconds,
      hasSocketFailed: () => this.clientsWithFailedSocket.has(client),
      recordHead: () => this.sockets.get(client)?.recordHead(),
      recordData: bytes => this.sockets.get(client)?.recordData(bytes),
      pauseReading: () => {
        if (!isReleased) this.sockets.get(client)?.pauseReading();
      },
      resumeReading: () => {
        if (!isReleased) this.sockets.get(client)?.resumeReading();
      },
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.sockets.get(client)?.endResponse();
        this.storeIdle(address, client);
      },
      destroy: () => {
        if (isReleased) return;
        isReleased = true;
        this.close(client);
      },
    };
  }

  closeAll(): void {
    clearInterval(this.sweepTimer);
    for (const client of [...this.openClients]) this.close(client);
  }

  private acquireIdle(address: string): Client | undefined {
    const idle = this.idleConnections.get(address) ?? [];
    const idleSinceLimit = this.clock.now() - maximumIdleMilliseconds;
    for (let entry = idle.pop(); entry !== undefined; entry = idle.pop()) {
      if (entry.idleSince >= idleSinceLimit && !entry.client.destroyed)
        return entry.client;
      this.close(entry.client);
    }
    return undefined;
  }

  private connect(address: string): Client {
    this.openedCount += 1;
    const client: Client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: ({hostname, port}, callback) => {
        const socket = new UpstreamSocket(this.turns);
        this.sockets.set(client, socket);
        this.clientsWithFailedSocket.delete(client);
        // Added before the HTTP client's listeners. `hasSocketFailed` is then
        // true when the client reports the end of the response.
        watchForSocketFailure(socket, () => {
          // The client may already have another socket.
          if (this.sockets.get(client) === socket)
            this.clientsWithFailedSocket.add(client);
        });
        const onConnectError = (error: Error) => callback(error, null);
        socket.once('error', onConnectError).once('connect', () => {
          socket.off('error', onConnectError);
          callback(null, socket);
        });
        socket.open(
          hostname,
          Number(port),
          this.limits.connectTimeoutMilliseconds,
        );
      },
      // The transport enforces timeouts itself, because it needs their reason.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: maximumIdleMilliseconds,
      keepAliveMaxTimeout: maximumIdleMilliseconds,
    });
    this.openClients.add(client);
    return client;
  }

  private storeIdle(address: string, client: Client): void {
    const idle = this.idleConnections.get(address) ?? [];
    this.idleConnections.set(address, idle);
    if (idle.length >= this.limits.maximumIdleConnections) this.close(client);
    else idle.push({client, idleSince: this.clock.now()});
  }

  private close(client: Client): void {
    this.openClients.delete(client);
    // This also fails the calls in flight, which report the error themselves.
    client.destroy().catch(() => undefined);
  }

  private closeExpired(): void {
    const idleSinceLimit = this.clock.now() - maximumIdleMilliseconds;
    for (const [address, idle] of [...this.idleConnections]) {
      const unexpired = idle.filter(entry => entry.idleSince >= idleSinceLimit);
      for (const entry of idle)
        if (!unexpired.includes(entry)) this.close(entry.client);
      if (unexpired.length === 0) this.idleConnections.delete(address);
      else this.idleConnections.set(address, unexpired);
    }
  }
}

/**
 * Calls `onFailure` when the peer resets the connection. A reset that arrives
 * together with the last bytes is reported as a normal end of the stream. In
 * that case the socket has no remote address, unlike after an orderly close.
 */
function watchForSocketFailure(
  socket: UpstreamSocket,
  onFailure: () => void,
): void {
  socket.once('error', onFailure);
  socket.once('end', () => {
    if (socket.remoteAddress === undefined) onFailure();
  });
}
