/** `persimmonwick trace`: the way of one request, from the logs of hosts. */

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
    describe: 'put the log lines of one request in order and explain its end',
    builder: command =>
      command
        .positional('request', {type: 'string', describe: 'id of the request'})
        .positional('files', {
          type: 'string',
          array: true,
          describe: 'log files of one or more hosts',
        }) as never,
    handler(options) {
      const content = read(context, options.files.map(String));
      if (content === undefined) return;
      const trace = traceRequest(content, String(options.request));
      if (trace.lines.length === 0) context.end(exitStatus.negative);
      if (options.json) return context.print(JSON.stringify(trace));
      const start = trace.lines[0]?.time ?? 0;
      for (const line of trace.lines) context.print(describe(line, start));
      for (const sentence of trace.missing)
        context.print(`missing: ${sentence}`);
      context.print(trace.explanation);
    },
  };
}

function read(
  context: CommandContext,
  files: readonly string[],
): LogContent | undefined {
  try {
    return readLogFiles(files);
  } catch (error) {
    const {path, code} = error as NodeJS.ErrnoException;
    context.complain(`${path ?? ''}: ${code ?? String(error)}`);
    context.end(exitStatus.failed);
    return undefined;
  }
}

const timeWidth = 9;

function describe({time, host, name, fields}: LogLine, start: number): string {
  const after = `+${time - start} ms`.padStart(timeWidth);
  const shown = Object.entries(fields)
    .filter(([field]) => field !== 'request')
    .map(([field, value]) => `${field}=${value}`);
  return [after, host, name, ...shown].join(' ');
}
