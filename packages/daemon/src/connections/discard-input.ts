/** Ends the reading of requests from a connection. */

import type {Socket} from 'node:net';

/**
 * Gives Node's HTTP parser no more bytes of `socket`, and reads on until the first ones
 * arrive: a caller that leaves while a response is under way shows in reads alone.
 */
export function discardInput(
  socket: Socket,
  onDiscarded: () => void = () => undefined,
): void {
  // Those of the parser.
  socket.removeAllListeners('data');
  socket.on('data', () => {
    onDiscarded();
    socket.pause();
  });
}
