/** A loopback HTTP server of a fake. */

import fastify from 'fastify';
import type {FastifyInstance} from 'fastify';

/** Makes a server; the fake adds its routes before it listens. */
export function createServer(): FastifyInstance {
  return fastify({forceCloseConnections: true, bodyLimit: 64 * 1024 * 1024});
}

/** Listens on a loopback port; zero lets the system choose. */
export async function listen(
  server: FastifyInstance,
  port = 0,
): Promise<string> {
  const url = await server.listen({host: '127.0.0.1', port});
  return new URL(url).host;
}
