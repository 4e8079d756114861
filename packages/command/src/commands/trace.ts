/** `persimmonwick trace`: one request across hosts, from their log files. */

import type {CommandModule} from 'yargs';
import {exitStatus} from '../command-context.js';
import type {CommandContext, OutputOptions} from '../command-context.js';
import {readLogFiles} from '../log-lines.js';
import type {LogContent, LogLine} from '../log-lines.js';
import {traceRequest} from '../request-trace.js';

interface TraceOptions extends OutputOptions {
  readonly request: string;
  readonly files: string[];
}

export function traceCommand(
  context: CommandContext,
): CommandModule<object, TraceOptions> {
  return {
    command: 'trace <request> <files...>',
    describe:
      'show the log lines of one request in order and explain its outcome',
    builder: command =>
      command
        .positional('request', {type: 'string', describe: 'id of the request'})
        .positional('files', {
          type: 'string',
          array: true,
          describe: 'log files of one or more hosts',
        }) as never,
    handler(options) {
      const content = readOrReport(context, options.files.map(String));
      if (content === undefined) return;
      const trace = traceRequest(content, String(options.request));
      if (trace.lines.length === 0)
        context.setExitStatus(exitStatus.unsuccessful);
      if (options.json) return context.print(JSON.stringify(trace));
      const start = trace.lines[0]?.time ?? 0;
      for (const line of trace.lines) context.print(formatLine(line, start));
      for (const description of trace.missing)
        context.print(`missing: ${description}`);
      context.print(trace.explanation);
    },
  };
}

function readOrReport(
  context: CommandContext,
  files: readonly string[],
): LogContent | undefined {
  try {
    return readLogFiles(files);
  } catch (error) {
    const {path, code} = error as NodeJS.ErrnoException;
    context.printError(`${path ?? ''}: ${code ?? String(error)}`);
    context.setExitStatus(exitStatus.failed);
    return undefined;
  }
}

const timeColumnCharacters = 9;

function formatLine(
  {time, host, name, fields}: LogLine,
  start: number,
): string {
  const elapsed = `+${time - start} ms`.padStart(timeColumnCharacters);
  const details = Object.entries(fields)
    .filter(([field]) => field !== 'request')
    .map(([field, value]) => `${field}=${value}`);
  return [elapsed, host, name, ...details].join(' ');
}
