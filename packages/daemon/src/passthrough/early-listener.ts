/**
 * Opens a port before the rest of the program is loaded. Callers that connect
 * during startup wait instead of being refused. This module imports only Node's
 * built-in modules, because it is loaded before everything else.
 */

import {once} from 'node:events';
import type {Server as HttpServer} from 'node:http';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {AcceptTimes} from '../connections/accept-times.js';

/** As of the HTTP server. */
const options = {pauseOnConnect: true, allowHalfOpen: true};

/** Interval of the timer that shows when the event loop last looked for connections. */
const tickMilliseconds = 25;

export class EarlyListener {
  private readonly pendingSockets: Socket[] = [];
  private readonly server: Server;
  private readonly timer: NodeJS.Timeout;
  private lastTickAt = performance.now();
  private previousTickAt = this.lastTickAt;

  private constructor() {
    this.timer = setInterval(() => {
      this.previousTickAt = this.lastTickAt;
      this.lastTickAt = performance.now();
    }, tickMilliseconds);
    this.timer.unref();
    const acceptTimes = new AcceptTimes(() => this.previousTickAt);
    this.server = createServer(options, socket => {
      acceptTimes.record(socket);
      // Until the HTTP server takes over the socket, errors are handled here.
      socket.on('error', () => socket.destroy());
      this.pendingSockets.push(socket);
    });
  }

  /** Listens on `address`; rejects when the address can't be bound. */
  static async open(address: string): Promise<EarlyListener> {
    const [host = '', port = ''] = address.split(':');
    const listener = new EarlyListener();
    listener.server.listen({host, port: Number(port)});
    await once(listener.server, 'listening');
    return listener;
  }

  /** The bound address. */
  get address(): string {
    const {address, port} = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /**
   * Transfers the port and the pending connections to `server`; resolves with
   * the bound address.
   */
  async handOver(server: HttpServer): Promise<string> {
    const {address} = this;
    server.listen(this.server);
    await once(server, 'listening');
    clearInterval(this.timer);
    for (const socket of this.pendingSockets.splice(0)) {
      server.emit('connection', socket);
      socket.resume();
    }
    return address;
  }
}
