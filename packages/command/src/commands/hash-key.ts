/** `persimmonwick hash-key`: the hash under which a key is published. */

import {text} from 'node:stream/consumers';
import {hashKey} from '@persimmonwick/daemon';
import type {CommandModule} from 'yargs';
import {exitStatus} from '../command-context.js';
import type {CommandContext, OutputOptions} from '../command-context.js';

const keyPattern = /^[\x21-\x7e]+$/;

export function hashKeyCommand(
  context: CommandContext,
): CommandModule<object, OutputOptions> {
  return {
    command: 'hash-key',
    describe: 'print the SHA-256 of a key read from standard input',
    builder: command => command as never,
    async handler(options) {
      if (context.input.isTTY === true)
        context.prompt('key, then Enter and Ctrl-D: ');
      const key = (await text(context.input)).replace(/\r?\n$/, '');
      if (!keyPattern.test(key)) {
        context.complain(
          'the key must be one line of visible ASCII characters without spaces',
        );
        return context.end(exitStatus.failed);
      }
      const sha256 = hashKey(key);
      context.print(options.json ? JSON.stringify({sha256}) : sha256);
    },
  };
}
