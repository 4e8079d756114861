/** Loopback HTTP servers for fakes. */

import fastify from 'fastify';
import type {FastifyInstance} from 'fastify';

/** Creates a server. Routes must be added before it listens. */
export function createServer(): FastifyInstance {
  return fastify({forceCloseConnections: true, bodyLimit: 64 * 1024 * 1024});
}

/**
 * Listens on a loopback port and returns the address. The system chooses the
 * port if it is zero.
 */
export async function listen(
  server: FastifyInstance,
  port = 0,
): Promise<string> {
  const url = await server.listen({host: '127.0.0.1', port});
  return new URL(url).host;
}
