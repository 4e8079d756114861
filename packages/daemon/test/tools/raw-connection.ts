/** Sends raw bytes over a socket, for input that HTTP clients do not send. */

import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {ExecutionContext} from 'ava';

/** A connection whose response can be awaited. */
export interface RawConnection {
  readonly socket: Socket;
  /** All data received until the connection closed. */
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
  const response = new Promise<string>(resolve =>
    socket.on('close', () => resolve(Buffer.concat(chunks).toString())),
  );
  return {socket, response};
}

/** Sends `text` and returns the complete response. */
export function sendRaw(
  t: ExecutionContext,
  address: string,
  text: string | Buffer,
): Promise<string> {
  const connection = openRawConnection(t, address);
  connection.socket.write(text);
  return connection.response;
}

/** Waits until `condition` holds. The timeout of the test limits the wait. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(done => setTimeout(done, 5));
}
