/** Loopback addresses that nothing else listens on. */

import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {threadId} from 'node:worker_threads';

const octetValues = 250;

let calls = 0;

/**
 * `count` different addresses, for daemons that start later. Each call has a
 * loopback IP address of its own, so that no other socket takes a port of it
 * in the meantime.
 */
export async function findFreeAddresses(count: number): Promise<string[]> {
  calls += 1;
  const octets = [process.pid, threadId, calls];
  const host = ['127', ...octets.map(each => 1 + (each % octetValues))];
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
