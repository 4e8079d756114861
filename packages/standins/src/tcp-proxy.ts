/**
 * A loopback TCP proxy for fault injection. It can close connections, delay
 * their data, or keep them open without forwarding anything.
 */

import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

/** A fault of all connections through the proxy. */
export type ProxyFault =
  | {readonly kind: 'none'}
  /** Open and new connections are closed. */
  | {readonly kind: 'dropped'}
  /** Each chunk is forwarded after a delay. */
  | {readonly kind: 'delayed'; readonly milliseconds: number}
  /**
   * Nothing is forwarded. A connection that lost data stays silent after the
   * fault ends.
   */
  | {readonly kind: 'silent'};

interface ProxiedConnection {
  readonly client: Socket;
  readonly server: Socket;
  isSilent: boolean;
}

const loopback = '127.0.0.1';

export class TcpProxy {
  address = '';
  private fault: ProxyFault = {kind: 'none'};
  private readonly connections = new Set<ProxiedConnection>();
  private readonly listener: Server;

  private constructor(private readonly target: string) {
    this.listener = createServer(client => this.accept(client));
  }

  /** Starts a proxy for `target`, an IP address with a port. */
  static async start(target: string): Promise<TcpProxy> {
    const proxy = new TcpProxy(target);
    proxy.listener.listen(0, loopback);
    await once(proxy.listener, 'listening');
    const {port} = proxy.listener.address() as AddressInfo;
    proxy.address = `${loopback}:${port}`;
    return proxy;
  }

  /** Number of open connections. */
  get openConnections(): number {
    return this.connections.size;
  }

  /** Applies `fault` to all open and new connections. */
  setFault(fault: ProxyFault): void {
    this.fault = fault;
    if (fault.kind === 'dropped') this.closeConnections();
  }

  /** Makes open connections silent permanently. New connections work. */
  silenceOpenConnections(): void {
    for (const connection of this.connections) connection.isSilent = true;
  }

  async close(): Promise<void> {
    this.closeConnections();
    const closed = once(this.listener, 'close');
    this.listener.close();
    await closed;
  }

  private closeConnections(): void {
    for (const {client, server} of this.connections) {
      client.destroy();
      server.destroy();
    }
    this.connections.clear();
  }

  private accept(client: Socket): void {
    if (this.fault.kind === 'dropped') {
      client.destroy();
      return;
    }
    const [host, port] = this.target.split(':');
    const server = connect(Number(port), host);
    const connection = {client, server, isSilent: false};
    this.connections.add(connection);
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on('error', () => this.closeConnection(connection));
    }
    client.on('close', () => this.closeConnection(connection));
    void this.relay(connection, client, server);
    void this.relay(connection, server, client);
  }

  /** Closes both sides. A silent connection stays open until the client closes. */
  private closeConnection(connection: ProxiedConnection): void {
    if (connection.isSilent && !connection.client.destroyed) return;
    connection.client.destroy();
    connection.server.destroy();
    this.connections.delete(connection);
  }

  private async relay(
    connection: ProxiedConnection,
    from: Socket,
    to: Socket,
  ): Promise<void> {
    try {
      for await (const chunk of from) {
        const {fault} = this;
        if (fault.kind === 'delayed')
          await new Promise(done => setTimeout(done, fault.milliseconds));
        if (this.fault.kind === 'silent') connection.isSilent = true;
        if (!connection.isSilent) to.write(chunk as Buffer);
      }
      if (!connection.isSilent) to.end();
    } catch {
      this.closeConnection(connection);
    }
  }
}
