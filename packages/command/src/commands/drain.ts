/** `persimmonwick drain`: makes a host reject new requests. */

import type {CommandModule} from 'yargs';
import type {CommandContext, HostOptions} from '../command-context.js';
import {addressOption} from '../host-option.js';
import {requestFromHost, reportError} from '../operator-client.js';

interface DrainResponse {
  readonly inFlight: number;
}

export function drainCommand(
  context: CommandContext,
): CommandModule<object, HostOptions> {
  return {
    command: 'drain',
    describe: 'make a host reject new requests; its process runs until SIGTERM',
    builder: command => command.options(addressOption) as never,
    async handler(options) {
      const response = await requestFromHost<DrainResponse>(
        options,
        '/drain',
        'POST',
      );
      if (response.isErr) return reportError(context, response.error);
      context.print(
        options.json
          ? JSON.stringify(response.value)
          : `draining, ${response.value.inFlight} requests in flight`,
      );
    },
  };
}
