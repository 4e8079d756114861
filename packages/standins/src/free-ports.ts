/** Finds free loopback addresses. */

import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {threadId} from 'node:worker_threads';

const maximumOctet = 250;

let callCount = 0;

/**
 * Returns `count` different addresses for daemons that start later. Each call
 * uses its own loopback IP address, so that no other socket takes one of the
 * ports before the daemons start.
 */
export async function findFreeAddresses(count: number): Promise<string[]> {
  callCount += 1;
  const octets = [process.pid, threadId, callCount];
  const host = ['127', ...octets.map(value => 1 + (value % maximumOctet))];
  const servers = Array.from({length: count}, () => createServer());
  const addresses: string[] = [];
  for (const server of servers) {
    server.listen(0, host.join('.'));
    await once(server, 'listening');
    const {address, port} = server.address() as AddressInfo;
    addresses.push(`${address}:${port}`);
  }
  await Promise.all(
    servers.map(server => new Promise(done => server.close(done))),
  );
  return addresses;
}
