/** Calls over a bare socket, for input that no HTTP client would send. */

import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {ExecutionContext} from 'ava';

/** A connection whose answer can be awaited. */
export interface RawConnection {
  readonly socket: Socket;
  /** All that came until the other side closed. */
  readonly response: Promise<string>;
}

export function openRawConnection(
  t: ExecutionContext,
  address: string,
): RawConnection {
  const [host, port] = address.split(':') as [string, string];
  const socket = connect(Number(port), host);
  t.teardown(() => socket.destroy());
  const chunks: Buffer[] = [];
  socket.on('error', () => {});
  socket.on('data', chunk => chunks.push(chunk));
  const answer = new Promise<string>(resolve =>
    socket.on('close', () => resolve(Buffer.concat(chunks).toString())),
  );
  return {socket, response: answer};
}

/** Sends `text` and gives the whole answer. */
export function sendRaw(
  t: ExecutionContext,
  address: string,
  text: string | Buffer,
): Promise<string> {
  const call = openRawConnection(t, address);
  call.socket.write(text);
  return call.response;
}

/** Waits until `condition` holds; the test's own limit bounds it. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(done => setTimeout(done, 5));
}
