/** Public API of the command-line tool. */

export {runCommand} from './run-command.js';
export type {CommandIo} from './run-command.js';
export {exitStatus} from './command-context.js';
export type {CommandContext, ExitStatus} from './command-context.js';
export {checkFiles} from './check-files.js';
export type {CheckReport} from './check-files.js';
