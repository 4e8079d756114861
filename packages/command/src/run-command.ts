/** Runs the tool with given arguments and streams. */

import yargs from 'yargs';
import {exitStatus} from './command-context.js';
import type {CommandContext, ExitStatus} from './command-context.js';
import {createCommands} from './commands/index.js';

const epilogue = `Exit status:
  0  the command did what was asked
  1  the answer is no: "check" found faults, "explain" found no route,
     "trace" found no line of the request
  2  wrong usage, an unreadable file, or no usable answer of the host

Examples:
  persimmonwick check settings.yaml configuration/*.yaml
  persimmonwick status --address 10.0.0.7:9090
  persimmonwick explain --account north-works --model review-1
  persimmonwick hash-key < key.txt
  persimmonwick trace 9c41d07be2a35f68 logs/*.log`;

/** The streams that the tool runs with. */
export type CommandStreams = Omit<CommandContext, 'end'>;

/** Parses `words`, runs the command and returns its exit status. */
export async function runCommand(
  words: readonly string[],
  streams: CommandStreams,
): Promise<ExitStatus> {
  let status: ExitStatus = exitStatus.success;
  const context: CommandContext = {
    ...streams,
    end: next => {
      status = next;
    },
  };
  const parser = yargs()
    .scriptName('persimmonwick')
    .usage('$0 COMMAND [OPTIONS]')
    .option('json', {
      type: 'boolean',
      default: false,
      describe: 'print JSON instead of tables',
    })
    .command(createCommands(context))
    .demandCommand(1, 'name a command')
    .strict()
    .help()
    .version()
    .wrap(null)
    .epilogue(epilogue)
    .exitProcess(false)
    .fail(false);
  try {
    await parser.parseAsync([...words], {}, (_error, _arguments, output) => {
      if (output !== '') streams.print(output);
    });
  } catch (error) {
    streams.complain((error as Error).message);
    streams.complain('see persimmonwick --help');
    return exitStatus.failed;
  }
  return status;
}
