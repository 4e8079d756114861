/** `persimmonwick check`: validates settings and configuration documents. */

import type {CommandModule} from 'yargs';
import {checkFiles} from '../check-files.js';
import {exitStatus} from '../command-context.js';
import type {CommandContext, OutputOptions} from '../command-context.js';

interface CheckOptions extends OutputOptions {
  readonly files: string[];
}

export function checkCommand(
  context: CommandContext,
): CommandModule<object, CheckOptions> {
  return {
    command: 'check <files...>',
    describe: 'validate settings files and configuration documents in YAML',
    builder: command =>
      command.positional('files', {
        type: 'string',
        array: true,
        describe: 'YAML files; configuration documents are validated together',
      }) as never,
    handler(options) {
      const report = checkFiles(options.files.map(String));
      if (report.unreadable.length > 0)
        context.setExitStatus(exitStatus.failed);
      else if (report.faults.length > 0)
        context.setExitStatus(exitStatus.unsuccessful);
      if (options.json) return context.print(JSON.stringify(report));
      for (const {file, reason} of report.unreadable)
        context.printError(`${file}: ${reason}`);
      for (const {file, path, value, expected} of report.faults)
        context.print(`${file}: ${path}: got ${value}, expected ${expected}`);
      for (const {file, path, expected} of report.warnings)
        context.print(`${file}: ${path}: warning: ${expected}`);
      context.print(
        `${report.settingsFiles} settings files, ` +
          `${report.configurationDocuments} configuration documents, ` +
          `${report.faults.length} faults`,
      );
    },
  };
}
