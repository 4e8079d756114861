/** `persimmonwick replay`: replays traces and compares their outcomes. */

import {readFileSync} from 'node:fs';
import {loadTrace, replayTrace} from '@persimmonwick/coordination';
import type {ReplayResult} from '@persimmonwick/coordination';
import type {CommandModule} from 'yargs';
import {exitStatus} from '../command-context.js';
import type {CommandContext, OutputOptions} from '../command-context.js';

interface ReplayOptions extends OutputOptions {
  readonly files: string[];
}

export function replayCommand(
  context: CommandContext,
): CommandModule<object, ReplayOptions> {
  return {
    command: 'replay <files...>',
    describe: 'replay traces in virtual time and compare the outcomes',
    builder: command =>
      command.positional('files', {
        type: 'string',
        array: true,
        describe: 'trace files in YAML',
      }) as never,
    async handler(options) {
      for (const file of options.files.map(String))
        await replayFile(context, file, options.json === true);
    },
  };
}

async function replayFile(
  context: CommandContext,
  file: string,
  shouldPrintJson: boolean,
): Promise<void> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    context.setExitStatus(exitStatus.failed);
    const reason = (error as NodeJS.ErrnoException).code ?? 'unreadable';
    return context.printError(`${file}: ${reason}`);
  }
  const trace = loadTrace(text);
  if (trace.isErr) {
    context.setExitStatus(exitStatus.failed);
    for (const {line, path, reason} of trace.error)
      context.printError(`${file}:${line}: ${path}: ${reason}`);
    return;
  }
  const result = await replayTrace(trace.value);
  if (!matchesExpectations(result))
    context.setExitStatus(exitStatus.unsuccessful);
  if (shouldPrintJson) context.print(JSON.stringify(result));
  else printResult(context, result);
}

function matchesExpectations({mismatches, violations}: ReplayResult): boolean {
  return mismatches.length === 0 && violations.length === 0;
}

function printResult(context: CommandContext, result: ReplayResult): void {
  const verdict = matchesExpectations(result) ? 'as expected' : 'differs';
  context.print(`${result.name}: ${verdict} (seed ${result.seed})`);
  for (const {subject, expected, got} of result.mismatches)
    context.print(`  ${subject}: expected ${expected}, got ${got}`);
  for (const {condition, at, detail} of result.violations)
    context.print(`  at ${at} ms: ${condition}: ${detail}`);
}
