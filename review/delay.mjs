/** A link with a delay: a proxy that passes bytes and ends on a little later. */

import {once} from 'node:events';
import {connect, createServer} from 'node:net';

/** The pages give 1 ms one way between clients and hosts. */
const defaultMilliseconds = 1;

export class DelayedLink {
  sockets = new Set();

  constructor(target, milliseconds = defaultMilliseconds) {
    const [host, port] = target.split(':');
    this.server = createServer({allowHalfOpen: true}, near => {
      const far = connect({host, port, allowHalfOpen: true});
      for (const socket of [near, far]) {
        socket.setNoDelay(true);
        this.sockets.add(socket);
        socket.once('close', () => this.sockets.delete(socket));
      }
      join(near, far, milliseconds);
      join(far, near, milliseconds);
    });
  }

  async start() {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

/** Timers of the same length run in the order in which they were set. */
function join(from, to, milliseconds) {
  const later = action => setTimeout(action, milliseconds);
  from.on('data', bytes => later(() => !to.destroyed && to.write(bytes)));
  from.once('end', () => later(() => !to.destroyed && to.end()));
  from.once('error', () => later(() => to.resetAndDestroy()));
  // A peer that closed without an end, as after a reset that was not read.
  from.once('close', () => later(() => !to.writableEnded && to.destroy()));
}
