/** Serves callers that end their direction of the connection after a request. */

import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@persimmonwick/coordination';
import {CallerProbe} from '../connections/caller-probe.js';
import type {OpenResponses} from './open-responses.js';

/**
 * Lets `server` answer the calls that it has read after their caller has ended its
 * direction. A caller that turns out to have closed the connection is disconnected.
 */
export function serveHalfClosedCallers(
  server: Server,
  responses: OpenResponses,
  clock: Clock,
): void {
  // Node's types lack the property.
  Object.assign(server, {httpAllowHalfOpen: true});
  server.on('connection', (socket: Socket) =>
    socket.once('end', () => void probeUntilAnswered(socket, responses, clock)),
  );
}

/** Resolves once the caller is answered, after which Node ends the connection. */
async function probeUntilAnswered(
  socket: Socket,
  responses: OpenResponses,
  clock: Clock,
): Promise<void> {
  const probe = new CallerProbe(socket, clock);
  const isAnswered = await probe.run(() => {
    const [response] = responses.of(socket);
    return response && {response, isProbed: true};
  });
  if (!isAnswered) socket.destroy();
}
