/** Loopback ports that the system chose and that are free again. */

import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

/** `count` different free addresses, for processes that start later. */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const servers = Array.from({length: count}, () => createServer());
  const addresses: string[] = [];
  for (const server of servers) {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  }
  await Promise.all(
    servers.map(server => new Promise(done => server.close(done))),
  );
  return addresses;
}
