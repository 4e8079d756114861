/** Serves callers that end their direction of the connection after a request. */

import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@persimmonwick/coordination';
import {CallerProbe, resetMilliseconds} from '../connections/caller-probe.js';

/** Responses that have not ended, in the order of their calls. */
type OpenResponses = ReadonlySet<ServerResponse>;

/**
 * Lets `server` answer the calls that it has read after their caller has ended its
 * direction. A caller that turns out to have closed the connection is disconnected.
 */
export function serveHalfClosedCallers(server: Server, clock: Clock): void {
  // Node's types lack the property.
  Object.assign(server, {httpAllowHalfOpen: true});
  const responsesBySocket = new WeakMap<Socket, Set<ServerResponse>>();
  server.on('connection', (socket: Socket) => {
    const responses = new Set<ServerResponse>();
    responsesBySocket.set(socket, responses);
    socket.once('end', () => void probeUntilAnswered(socket, responses, clock));
  });
  server.on('request', ({socket}, response) => {
    const responses = responsesBySocket.get(socket)?.add(response);
    response.once('close', () => responses?.delete(response));
  });
}

/** Returns once the caller is answered, after which Node ends the connection. */
async function probeUntilAnswered(
  socket: Socket,
  responses: OpenResponses,
  clock: Clock,
): Promise<void> {
  const probe = new CallerProbe(socket);
  for (;;) {
    await clock.sleep(resetMilliseconds);
    const [response] = responses;
    if (response === undefined || socket.destroyed) return;
    void probe.isConnected();
    if (!probe.send(response)) socket.destroy();
  }
}
