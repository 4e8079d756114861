/** HTTP servers for the readiness and metrics endpoints. */

import {fastify} from 'fastify';
import type {FastifyInstance} from 'fastify';

/** A server for one endpoint. */
export interface StatusServer {
  readonly address: string;
  close(): Promise<void>;
}

const unavailableStatus = 503;

/** Serves `path`: 200 while `isReady` returns true, else 503. */
export async function serveReadiness(
  address: string,
  path: string,
  isReady: () => boolean,
): Promise<StatusServer> {
  const server = fastify({forceCloseConnections: true});
  server.get(path, async (_request, reply) =>
    reply.code(isReady() ? 200 : unavailableStatus).send({ready: isReady()}),
  );
  return listen(server, address);
}

/** Serves the metrics on `path` in the Prometheus text format. */
export async function serveMetrics(
  address: string,
  path: string,
  read: () => Promise<string>,
): Promise<StatusServer> {
  const server = fastify({forceCloseConnections: true});
  server.get(path, async (_request, reply) =>
    reply.type('text/plain; version=0.0.4').send(await read()),
  );
  return listen(server, address);
}

async function listen(
  server: FastifyInstance,
  address: string,
): Promise<StatusServer> {
  const [host, port] = address.split(':') as [string, string];
  const url = await server.listen({host, port: Number(port)});
  return {address: new URL(url).host, close: () => server.close()};
}
