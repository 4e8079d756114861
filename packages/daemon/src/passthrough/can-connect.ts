/** TCP reachability check. */

import {connect} from 'node:net';
import {isHostAddress} from '@persimmonwick/coordination';
import {PauseAwareTimeout} from '../connections/pause-aware-timeout.js';

/**
 * Opens a TCP connection to `address` and closes it. Resolves to false when the
 * connection fails, `timeoutMilliseconds` passes, `signal` is aborted, or `address` is
 * no IP address and port.
 */
export function canConnect(
  address: string,
  timeoutMilliseconds: number,
  signal: AbortSignal,
): Promise<boolean> {
  if (!isHostAddress(address)) return Promise.resolve(false);
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = connect({host, port: Number(port)});
    const settle = (isConnected: boolean) => {
      timeout.clear();
      signal.removeEventListener('abort', onAbort);
      socket.destroy();
      resolve(isConnected);
    };
    const onAbort = () => settle(false);
    const timeout = new PauseAwareTimeout(timeoutMilliseconds, onAbort);
    signal.addEventListener('abort', onAbort);
    socket.once('connect', () => settle(true));
    socket.once('error', () => settle(false));
    if (signal.aborted) onAbort();
  });
}
