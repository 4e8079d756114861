/** Logs the numbered events as structured JSON. */

import './enable-roarr.js';
import process from 'node:process';
import {ROARR, Roarr} from 'roarr';
import {BoundedOutput} from './bounded-output.js';
import {logEvents} from './catalogue.js';
import {openStandardOutput} from './standard-output.js';
import type {LogEventName, LogFields} from './catalogue.js';

/** Writes numbered events. */
export interface EventLog {
  write<Name extends LogEventName>(name: Name, fields: LogFields<Name>): void;
}

/**
 * Events of request outcomes. Like warnings and errors, they are dropped only
 * above the higher buffer limit.
 */
const outcomeEvents: ReadonlySet<LogEventName> = new Set([
  'requestFinished',
  'requestFailed',
]);

/** Writes events as JSON lines to standard output without blocking. */
export function createEventLog(host: string): EventLog {
  const logger = Roarr.child({application: 'persimmonwickd', host});
  // It would end the process after any error of the output but a closed pipe.
  ROARR.teardown?.();
  // Without a listener, Node's warnings to a closed pipe would end the process.
  process.stderr.on('error', () => undefined);
  const output = new BoundedOutput(openStandardOutput());
  return {
    write(name, fields) {
      const {number, level, text} = logEvents[name];
      const isImportant =
        outcomeEvents.has(name) || level === 'warn' || level === 'error';
      // Roarr calls `ROARR.write` synchronously, within `logger[level]()`.
      ROARR.write = line => output.write(line, isImportant);
      logger[level]({event: number, name, ...fields}, text);
    },
  };
}

/** Discards all events. */
export const silentLog: EventLog = {write: () => {}};
