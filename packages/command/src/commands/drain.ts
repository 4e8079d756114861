/** `persimmonwick drain`: a host takes no new requests from now on. */

import type {CommandModule} from 'yargs';
import type {CommandContext, HostOptions} from '../command-context.js';
import {addressOption} from '../host-option.js';
import {askHost, reportError} from '../operator-client.js';

interface DrainAnswer {
  readonly inFlight: number;
}

export function drainCommand(
  context: CommandContext,
): CommandModule<object, HostOptions> {
  return {
    command: 'drain',
    describe: 'stop a host from taking new requests; it runs on until SIGTERM',
    builder: command => command.options(addressOption) as never,
    async handler(options) {
      const answer = await askHost<DrainAnswer>(options, '/drain', 'POST');
      if (answer.isErr) return reportError(context, answer.error);
      context.print(
        options.json
          ? JSON.stringify(answer.value)
          : `draining, ${answer.value.inFlight} requests in flight`,
      );
    },
  };
}
