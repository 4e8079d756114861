/** Serves callers that end their direction of the connection after a request. */

import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@persimmonwick/coordination';
import {CallerProbe} from '../connections/caller-probe.js';

/**
 * Lets `server` answer the calls that it has read after their caller has ended its
 * direction. A caller that turns out to have closed the connection is disconnected.
 */
export function serveHalfClosedCallers(server: Server, clock: Clock): void {
  // Node's types lack the property.
  Object.assign(server, {httpAllowHalfOpen: true});
  /** Those that have not ended, in the order of their calls. */
  const openResponses = new WeakMap<Socket, Set<ServerResponse>>();
  server.on('connection', (socket: Socket) => {
    const responses = new Set<ServerResponse>();
    openResponses.set(socket, responses);
    socket.once('end', () => void probeUntilAnswered(socket, responses, clock));
  });
  server.on('request', ({socket}, response) => {
    const responses = openResponses.get(socket)?.add(response);
    response.once('close', () => responses?.delete(response));
  });
}

/** Resolves once the caller is answered, after which Node ends the connection. */
async function probeUntilAnswered(
  socket: Socket,
  responses: ReadonlySet<ServerResponse>,
  clock: Clock,
): Promise<void> {
  const probe = new CallerProbe(socket, clock);
  const isAnswered = await probe.run(() => {
    const [response] = responses;
    return response && {response, isProbed: true};
  });
  if (!isAnswered) socket.destroy();
}
