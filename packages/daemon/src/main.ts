#!/usr/bin/env node
/** The daemon's command line. */

import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {startDaemon} from './daemon.js';
import {loadSettings} from './load-settings.js';
import {createEventLog} from './log/logger.js';

const badSettingsStatus = 2;

const options = await yargs(hideBin(process.argv))
  .scriptName('persimmonwickd')
  .usage('$0 --settings FILE.yaml')
  .option('settings', {
    type: 'string',
    demandOption: true,
    describe: 'settings file in YAML',
  })
  .strict()
  .parse();

const settings = loadSettings(options.settings, process.env);
if (settings.isErr) {
  for (const {path, value, expected} of settings.error)
    process.stderr.write(`${path}: got ${value}, expected ${expected}\n`);
  process.exit(badSettingsStatus);
}

const log = createEventLog(settings.value.host);
const daemon = await startDaemon(settings.value, log);
for (const signal of ['SIGTERM', 'SIGINT'] as const)
  process.once(signal, () => void daemon.close());
