/** `persimmonwick check`: validates settings and configuration documents. */

import type {DocumentDifference} from '@persimmonwick/coordination';
import type {CommandModule} from 'yargs';
import {checkFiles} from '../check-files.js';
import type {CheckReport} from '../check-files.js';
import {exitStatus} from '../command-context.js';
import type {CommandContext, OutputOptions} from '../command-context.js';
import {formatValue} from '../document-file.js';
import type {FileFault} from '../document-file.js';

interface CheckOptions extends OutputOptions {
  readonly files: string[];
  readonly against: string[] | undefined;
  readonly format: 'text' | 'json';
}

export function checkCommand(
  context: CommandContext,
): CommandModule<object, CheckOptions> {
  return {
    command: 'check <files...>',
    describe: 'validate settings files and configuration documents in YAML',
    builder: command =>
      command
        .positional('files', {
          type: 'string',
          array: true,
          describe:
            'YAML files; configuration documents are validated together',
        })
        .option('against', {
          type: 'string',
          array: true,
          // Else the option would take the files that follow it as well.
          nargs: 1,
          describe:
            'files of the version in force, to list what differs from it',
        })
        .option('format', {
          choices: ['text', 'json'] as const,
          default: 'text',
          describe: 'format of the report; --json is the same as json',
        }) as never,
    handler(options) {
      const report = checkFiles(
        options.files.map(String),
        options.against?.map(String),
      );
      if (report.unreadable.length > 0)
        context.setExitStatus(exitStatus.failed);
      else if (findingsOf(report).length > 0)
        context.setExitStatus(exitStatus.unsuccessful);
      if (options.json || options.format === 'json')
        return context.print(JSON.stringify(report));
      for (const {file, reason} of report.unreadable)
        context.printError(`${file}: ${reason}`);
      for (const line of linesOf(report)) context.print(line);
    },
  };
}

/** What makes a version unfit to be sent. */
function findingsOf(report: CheckReport): readonly FileFault[] {
  const {faults, unreachable, contradictions} = report;
  return [...faults, ...unreachable, ...contradictions];
}

function linesOf(report: CheckReport): string[] {
  const {faults, unreachable, contradictions, warnings, differences} = report;
  const describe = (prefix: string) => (fault: FileFault) =>
    `${fault.file}: ${fault.path}: ${prefix}got ${fault.value}, expected ${fault.expected}`;
  return [
    ...faults.map(describe('')),
    ...unreachable.map(describe('never used: ')),
    ...contradictions.map(describe('contradiction: ')),
    ...warnings.map(
      ({file, path, expected}) => `${file}: ${path}: warning: ${expected}`,
    ),
    ...(differences ?? []).flatMap(describeDifference),
    [
      `${report.settingsFiles} settings files`,
      `${report.configurationDocuments} configuration documents`,
      `${faults.length} faults`,
      ...countIfAny(unreachable, 'never used'),
      ...countIfAny(contradictions, 'contradictions'),
      ...countIfAny(differences ?? [], 'differences'),
    ].join(', '),
  ];
}

function countIfAny(entries: readonly unknown[], noun: string): string[] {
  return entries.length === 0 ? [] : [`${entries.length} ${noun}`];
}

function describeDifference(difference: DocumentDifference): string[] {
  switch (difference.kind) {
    case 'added':
      return [`+ ${difference.document}`];
    case 'removed':
      return [`- ${difference.document}`];
    case 'changed':
      return difference.fields.map(
        ({field, before, after}) =>
          `~ ${difference.document}${field}: ` +
          `${formatValue(before)} -> ${formatValue(after)}`,
      );
  }
}
