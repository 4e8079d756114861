/** Runs the command-line tool with the given arguments and streams. */

import yargs from 'yargs';
import {exitStatus} from './command-context.js';
import type {CommandContext, ExitStatus} from './command-context.js';
import {createCommands} from './commands/index.js';

const epilogue = `Exit status:
  0  the command succeeded
  1  the command ran, but "check" found faults, entries that are never used or
     limits that contradict each other, "explain" found no route, "trace"
     found no log line of the request, "replay" found a difference
  2  wrong usage, an unreadable file, an invalid trace, or no usable
     response from the host

Examples:
  persimmonwick check settings.yaml configuration/*.yaml
  persimmonwick status --address 10.0.0.7:9090
  persimmonwick explain --account north-works --model review-1
  persimmonwick hash-key < key.txt
  persimmonwick trace 9c41d07be2a35f68 logs/*.log`;

/** Input and output of the command-line tool. */
export type CommandIo = Omit<CommandContext, 'setExitStatus'>;

/** Parses `args`, runs the command and returns its exit status. */
export async function runCommand(
  args: readonly string[],
  streams: CommandIo,
): Promise<ExitStatus> {
  let status: ExitStatus = exitStatus.success;
  const context: CommandContext = {
    ...streams,
    setExitStatus: newStatus => {
      status = newStatus;
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
    .demandCommand(1, 'a command is required')
    .strict()
    .help()
    .version()
    .wrap(null)
    .epilogue(epilogue)
    .exitProcess(false)
    .fail(false);
  try {
    await parser.parseAsync([...args], {}, (_error, _arguments, output) => {
      if (output !== '') streams.print(output);
    });
  } catch (error) {
    streams.printError((error as Error).message);
    streams.printError('see persimmonwick --help');
    return exitStatus.failed;
  }
  return status;
}
