/** Whether a connection to an address can be made. */

import {connect} from 'node:net';

/**
 * Opens a connection to `address` and closes it; false when that fails, takes
 * longer than `milliseconds`, or `signal` is aborted.
 */
export function canConnect(
  address: string,
  milliseconds: number,
  signal: AbortSignal,
): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = connect({host, port: Number(port)});
    const settle = (isConnected: boolean) => {
      clearTimeout(timer);
      signal.removeEventListener('abort', onAbort);
      socket.destroy();
      resolve(isConnected);
    };
    const onAbort = () => settle(false);
    const timer = setTimeout(onAbort, milliseconds);
    signal.addEventListener('abort', onAbort);
    socket.once('connect', () => settle(true));
    socket.once('error', () => settle(false));
    if (signal.aborted) onAbort();
  });
}
