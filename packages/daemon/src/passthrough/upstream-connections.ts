/**
 * Connections to upstreams, one call at a time on each. A kept connection is
 * used again only shortly after its last answer, because the other end may have
 * closed it or lost track of it.
 */

import type {Socket} from 'node:net';
import type {Clock} from '@persimmonwick/coordination';
import {Client, buildConnector} from 'undici';

/** A connection that one call uses. */
export interface UpstreamConnection {
  readonly client: Client;
  /**
   * True when the socket ended with an error. An answer without a length that
   * ends so is not whole, though the HTTP client takes it for whole.
   */
  readonly hasSocketFailed: () => boolean;
  /** Keeps it for the next call, after a whole and sound answer. */
  keep(): void;
  /** Closes it at once, with what is in flight. */
  drop(): void;
}

/** Longest idle time of a connection that is used again. */
const maximumIdleMilliseconds = 1000;

/** Idle connections kept for one upstream. */
const maximumIdle = 4;

/** A connection inside a data centre takes a few milliseconds. */
export const connectMilliseconds = 250;

/** How often idle connections are looked through. */
const sweepMilliseconds = 1000;

interface Idle {
  readonly client: Client;
  readonly since: number;
}

export class UpstreamConnections {
  private readonly idle = new Map<string, Idle[]>();
  private readonly open = new Set<Client>();
  private readonly failedSockets = new WeakSet<Client>();
  private readonly connectSocket = buildConnector({
    timeout: connectMilliseconds,
  });
  private readonly sweep: NodeJS.Timeout;
  /** Connections that were opened since the start. */
  opened = 0;

  constructor(private readonly clock: Clock) {
    this.sweep = setInterval(() => this.closeOld(), sweepMilliseconds);
    this.sweep.unref();
  }

  /** A connection to `address`, new when asked for. */
  take(address: string, needsNew: boolean): UpstreamConnection {
    const client =
      (needsNew ? undefined : this.takeIdle(address)) ?? this.connect(address);
    let isDone = false;
    return {
      client,
      hasSocketFailed: () => this.failedSockets.has(client),
      keep: () => {
        if (isDone) return;
        isDone = true;
        this.keepIdle(address, client);
      },
      drop: () => {
        if (isDone) return;
        isDone = true;
        this.close(client);
      },
    };
  }

  closeAll(): void {
    clearInterval(this.sweep);
    for (const client of [...this.open]) this.close(client);
  }

  private takeIdle(address: string): Client | undefined {
    const kept = this.idle.get(address) ?? [];
    const oldest = this.clock.now() - maximumIdleMilliseconds;
    for (let entry = kept.pop(); entry !== undefined; entry = kept.pop()) {
      if (entry.since >= oldest && !entry.client.destroyed) return entry.client;
      this.close(entry.client);
    }
    return undefined;
  }

  private connect(address: string): Client {
    this.opened += 1;
    const client: Client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (options, callback) =>
        this.connectSocket(options, (...result) => {
          // Set before the HTTP client's own listeners, so that they run first.
          watchForReset(result[1], () => this.failedSockets.add(client));
          callback(...result);
        }),
      // Times of calls are kept by the sender, with the reason at hand.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: maximumIdleMilliseconds,
      keepAliveMaxTimeout: maximumIdleMilliseconds,
    });
    this.open.add(client);
    return client;
  }

  private keepIdle(address: string, client: Client): void {
    const kept = this.idle.get(address) ?? [];
    this.idle.set(address, kept);
    if (kept.length >= maximumIdle) this.close(client);
    else kept.push({client, since: this.clock.now()});
  }

  private close(client: Client): void {
    this.open.delete(client);
    // The calls on it learn of the end through their own handlers.
    client.destroy().catch(() => undefined);
  }

  private closeOld(): void {
    const oldest = this.clock.now() - maximumIdleMilliseconds;
    for (const [address, kept] of [...this.idle]) {
      const young = kept.filter(each => each.since >= oldest);
      for (const entry of kept)
        if (!young.includes(entry)) this.close(entry.client);
      if (young.length === 0) this.idle.delete(address);
      else this.idle.set(address, young);
    }
  }
}

/**
 * Calls `onReset` when the other end resets the connection. A reset that comes
 * together with the last bytes is reported as an ordinary end; the connection
 * then has no other end any more, which one that was closed in order still has.
 */
function watchForReset(socket: Socket | null, onReset: () => void): void {
  socket?.once('error', onReset);
  socket?.once('end', () => {
    if (socket.remoteAddress === undefined) onReset();
  });
}
