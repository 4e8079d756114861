/** Starts HTTP servers on an address of the settings. */

import type {NestFastifyApplication} from '@nestjs/platform-fastify';
import {StartError} from './start-error.js';

/** A listening server. */
export interface RunningServer {
  /** IP address and port, such as `127.0.0.1:8080`. */
  readonly address: string;
  close(): Promise<void>;
}

/**
 * Listens on `address`. A failure names `settingPath`, the JSON pointer of the
 * address in the settings.
 */
export async function listenOn(
  application: NestFastifyApplication,
  address: string,
  settingPath: string,
): Promise<RunningServer> {
  const [host, port] = address.split(':') as [string, string];
  try {
    await application.listen(Number(port), host);
  } catch (error) {
    await application.close();
    throw StartError.forAddress(settingPath, address, error);
  }
  return {
    address: new URL(await application.getUrl()).host,
    close: () => application.close(),
  };
}
