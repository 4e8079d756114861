/** Beats between hosts as datagrams. */

import {createSocket} from 'node:dgram';
import type {Socket} from 'node:dgram';
import {once} from 'node:events';
import {Beat} from '@persimmonwick/coordination';
import type {HeartbeatSender} from '@persimmonwick/coordination';

export interface BeatSocketParts {
  readonly onBeat: (beat: Beat) => void;
  /** Told of datagrams that could not be read or sent. */
  readonly onFault: (address: string, reason: string) => void;
}

export class BeatSocket implements HeartbeatSender {
  private readonly socket: Socket = createSocket('udp4');

  constructor(private readonly parts: BeatSocketParts) {}

  /** Receives on `address`. */
  async listen(address: string): Promise<void> {
    const {host, port} = split(address);
    this.socket.on('message', (bytes, {address: from, port: fromPort}) =>
      this.receive(bytes, `${from}:${fromPort}`),
    );
    this.socket.on('error', error =>
      this.parts.onFault(address, error.message),
    );
    this.socket.bind(port, host);
    await once(this.socket, 'listening');
  }

  /** IP address and port that receive beats. */
  get address(): string {
    const {address, port} = this.socket.address();
    return `${address}:${port}`;
  }

  send(address: string, beat: Beat): void {
    const {host, port} = split(address);
    this.socket.send(Beat.encode(beat).finish(), port, host, error => {
      if (error !== null) this.parts.onFault(address, error.message);
    });
  }

  close(): void {
    this.socket.close();
  }

  private receive(bytes: Uint8Array, from: string): void {
    let beat: Beat;
    try {
      beat = Beat.decode(bytes);
    } catch (error) {
      this.parts.onFault(from, String(error));
      return;
    }
    this.parts.onBeat(beat);
  }
}

function split(address: string): {host: string; port: number} {
  const [host = '', port = ''] = address.split(':');
  return {host, port: Number(port)};
}
