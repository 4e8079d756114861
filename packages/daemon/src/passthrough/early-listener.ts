/**
 * Opens a port before the rest of the program is loaded. Callers that connect in
 * the meantime wait for a moment instead of being refused. Imports nothing but
 * Node's own modules, so that it can run first.
 */

import {once} from 'node:events';
import type {Server as HttpServer} from 'node:http';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

export class EarlyListener {
  private readonly waiting: Socket[] = [];
  private readonly server: Server;

  private constructor() {
    this.server = createServer({pauseOnConnect: true}, socket => {
      // The HTTP server looks at errors once it has the connection.
      socket.on('error', () => socket.destroy());
      this.waiting.push(socket);
    });
  }

  /** Listens on `address`; rejects when it can't be had. */
  static async open(address: string): Promise<EarlyListener> {
    const [host = '', port = ''] = address.split(':');
    const listener = new EarlyListener();
    listener.server.listen({host, port: Number(port)});
    await once(listener.server, 'listening');
    return listener;
  }

  /** Gives the port and the connections that wait to `server`. */
  async handOver(server: HttpServer): Promise<string> {
    const {address, port} = this.server.address() as AddressInfo;
    server.listen(this.server);
    await once(server, 'listening');
    for (const socket of this.waiting.splice(0)) {
      server.emit('connection', socket);
      socket.resume();
    }
    return `${address}:${port}`;
  }
}
