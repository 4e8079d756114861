/** Port at which a host takes calls over from other hosts. */

import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

export class HandoverListener {
  private readonly server: Server;

  constructor(onConnection: (socket: Socket) => void) {
    this.server = createServer(onConnection);
  }

  async listen(address: string): Promise<void> {
    const [host = '', port = ''] = address.split(':');
    const listening = once(this.server, 'listening');
    this.server.listen({host, port: Number(port)});
    await listening;
  }

  get address(): string {
    const {address, port} = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Accepts no more connections. */
  close(): void {
    this.server.close();
  }
}
