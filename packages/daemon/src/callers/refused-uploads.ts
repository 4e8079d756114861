/** Lets the callers of refused uploads read the refusal before the connection ends. */

import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@persimmonwick/coordination';
import type {OpenResponses} from './open-responses.js';

/** Time without further bytes after which a caller no longer sends. */
const quietMilliseconds = 500;

/** Longest time for a caller to send the rest of its upload. */
const maximumUploadMilliseconds = 10_000;

/**
 * Makes `server` end connections behind uploads that it has refused only once they
 * have ended: a reset would overtake the refusal of a caller that reads it then.
 */
export function awaitRefusedUploads(
  server: Server,
  responses: OpenResponses,
  clock: Clock,
): void {
  server.on('connection', (socket: Socket) => {
    const destroySoon = socket.destroySoon.bind(socket);
    // Node calls this after a response that announced the end of the connection.
    socket.destroySoon = () => {
      if (responses.isUploading(socket)) void endAfterUpload(socket, clock);
      else destroySoon();
    };
  });
}

async function endAfterUpload(socket: Socket, clock: Clock): Promise<void> {
  // A request behind the upload could not be answered, so Node's parser gets no more.
  socket.removeAllListeners('data');
  socket.on('data', () => undefined);
  socket.end();
  const closed = new AbortController();
  socket.once('close', () => closed.abort());
  const latest = clock.now() + maximumUploadMilliseconds;
  let bytesRead: number;
  do {
    bytesRead = socket.bytesRead;
    await clock.sleep(quietMilliseconds, closed.signal);
  } while (socket.bytesRead > bytesRead && clock.now() < latest);
  socket.destroy();
}
