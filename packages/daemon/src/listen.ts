/** Listening of the HTTP servers. */

import type {NestFastifyApplication} from '@nestjs/platform-fastify';
import {StartError} from './start-error.js';

/** A server that listens. */
export interface RunningServer {
  /** IP address and port, as `127.0.0.1:8080`. */
  readonly address: string;
  close(): Promise<void>;
}

/** Listens on `address`, which the settings give at `path`. */
export async function listenOn(
  application: NestFastifyApplication,
  address: string,
  path: string,
): Promise<RunningServer> {
  const [host, port] = address.split(':') as [string, string];
  try {
    await application.listen(Number(port), host);
  } catch (error) {
    await application.close();
    throw StartError.ofAddress(path, address, error);
  }
  return {
    address: new URL(await application.getUrl()).host,
    close: () => application.close(),
  };
}
