#!/usr/bin/env node
/** The daemon's command line. */

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

const failureStatus = 1;
const badSettingsStatus = 2;

const options = await yargs(hideBin(process.argv))
  .scriptName('persimmonwickd')
  .usage('$0 --settings FILE.yaml')
  .option('settings', {
    type: 'string',
    demandOption: true,
    describe: 'settings file in YAML',
  })
  .epilogue(
    'Exit status: 0 after a graceful stop, 1 after a second signal or an ' +
      'internal error, 2 when the settings can not be used. SIGTERM or SIGINT ' +
      'drains the host and then stops it; a second one stops it at once.',
  )
  .strict()
  .parse();

const settings = loadSettings(options.settings, process.env);
if (settings.isErr) refuseSettings(settings.error);
else await run(settings.value);

async function run(value: CompleteSettings): Promise<void> {
  let daemon: Daemon | undefined;
  let isStopping = false;
  const stop = () => {
    if (isStopping) process.exit(failureStatus);
    isStopping = true;
    if (daemon !== undefined) void end(daemon);
  };
  // A signal may come before the daemon has started.
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, stop);
  try {
    daemon = await startDaemon(value, createEventLog(value.host));
    if (isStopping) await end(daemon);
  } catch (error) {
    if (!(error instanceof StartError)) throw error;
    refuseSettings(error.faults);
  }
}

/** Exits at once: a question that a peer still holds must not delay the end. */
async function end(daemon: Daemon): Promise<void> {
  await daemon.close();
  process.exit();
}

function refuseSettings(faults: readonly SettingsFault[]): void {
  for (const {path, value, expected} of faults)
    process.stderr.write(
      `${options.settings}: ${path}: got ${value}, expected ${expected}\n`,
    );
  process.exitCode = badSettingsStatus;
}
