#!/usr/bin/env node
/** Command line of the daemon. */

import process from 'node:process';
import type {
  CompleteSettings,
  SettingsFault,
} from '@persimmonwick/coordination';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {startDaemon} from './daemon.js';
import type {Daemon} from './daemon.js';
import {loadSettings} from './load-settings.js';
import {createEventLog} from './log/logger.js';
import {StartError} from './start-error.js';

const failureExitStatus = 1;
const invalidSettingsExitStatus = 2;

const options = await yargs(hideBin(process.argv))
  .scriptName('persimmonwickd')
  .usage('$0 --settings FILE.yaml')
  .option('settings', {
    type: 'string',
    demandOption: true,
    describe: 'YAML file with the settings',
  })
  .epilogue(
    'Exit status: 0 after a graceful stop, 1 after a second signal or an ' +
      'internal error, 2 if the settings can not be used. SIGTERM or SIGINT ' +
      'drains the host and then stops it; a second signal stops it at once.',
  )
  .strict()
  .parse();

const settings = loadSettings(options.settings, process.env);
if (settings.isErr) reportFaults(settings.error);
else await runDaemon(settings.value);

async function runDaemon(validSettings: CompleteSettings): Promise<void> {
  let daemon: Daemon | undefined;
  let isStopping = false;
  const stop = () => {
    if (isStopping) process.exit(failureExitStatus);
    isStopping = true;
    if (daemon !== undefined) void closeAndExit(daemon);
  };
  // A signal that arrives during startup is handled once the daemon runs.
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, stop);
  try {
    daemon = await startDaemon(
      validSettings,
      createEventLog(validSettings.host),
    );
    if (isStopping) await closeAndExit(daemon);
  } catch (error) {
    if (!(error instanceof StartError)) throw error;
    reportFaults(error.faults);
  }
}

/**
 * Exits explicitly: a pending request to a peer would otherwise keep the
 * process alive.
 */
async function closeAndExit(daemon: Daemon): Promise<void> {
  await daemon.close();
  process.exit();
}

function reportFaults(faults: readonly SettingsFault[]): void {
  for (const {path, value, expected} of faults)
    process.stderr.write(
      `${options.settings}: ${path}: got ${value}, expected ${expected}\n`,
    );
  process.exitCode = invalidSettingsExitStatus;
}
