/** `persimmonwick hash-key`: the hash of a key for its `Key` document. */

import {createInterface} from 'node:readline/promises';
import {Writable} from 'node:stream';
import {text} from 'node:stream/consumers';
import {hashKey} from '@persimmonwick/coordination';
import type {CommandModule} from 'yargs';
import {exitStatus} from '../command-context.js';
import type {CommandContext, OutputOptions} from '../command-context.js';

const visibleAsciiPattern = /^[\x21-\x7e]+$/;

export function hashKeyCommand(
  context: CommandContext,
): CommandModule<object, OutputOptions> {
  return {
    command: 'hash-key',
    describe: 'print the SHA-256 of a key read from standard input',
    builder: command => command as never,
    async handler(options) {
      const key = await readKey(context);
      if (!visibleAsciiPattern.test(key)) {
        context.printError(
          'the key must be one line of visible ASCII characters without spaces',
        );
        return context.setExitStatus(exitStatus.failed);
      }
      const sha256 = hashKey(key);
      context.print(options.json ? JSON.stringify({sha256}) : sha256);
    },
  };
}

async function readKey({input, prompt}: CommandContext): Promise<string> {
  if (input.isTTY !== true) return (await text(input)).replace(/\r?\n$/, '');
  prompt('key: ');
  // Discards the terminal echo, which would display the key.
  const discard = new Writable({write: (_chunk, _encoding, done) => done()});
  const lines = createInterface({input, output: discard, terminal: true});
  try {
    return await lines.question('');
  } finally {
    lines.close();
    prompt('\n');
  }
}
