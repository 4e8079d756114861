/** All commands, one file each. */

import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command-context.js';
import {checkCommand} from './check.js';
import {drainCommand} from './drain.js';
import {explainCommand} from './explain.js';
import {hashKeyCommand} from './hash-key.js';
import {histogramsCommand} from './histograms.js';
import {replayCommand} from './replay.js';
import {statusCommand} from './status.js';
import {traceCommand} from './trace.js';

/** Creates the commands for one invocation. */
export function createCommands(context: CommandContext): CommandModule[] {
  return [
    checkCommand,
    statusCommand,
    histogramsCommand,
    explainCommand,
    hashKeyCommand,
    drainCommand,
    replayCommand,
    traceCommand,
  ].map(create => create(context) as unknown as CommandModule);
}
