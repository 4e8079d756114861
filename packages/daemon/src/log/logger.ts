/** Structured logging of the numbered events. */

import './enable-roarr.js';
import process from 'node:process';
import {ROARR, Roarr} from 'roarr';
import {BoundedOutput} from './bounded-output.js';
import {logEvents} from './catalogue.js';
import type {LogEventName, LogFields} from './catalogue.js';

/** Writes numbered events. */
export interface EventLog {
  write<Name extends LogEventName>(name: Name, fields: LogFields<Name>): void;
}

/** Events that are kept before others when the reader is slow. */
const outcomes: ReadonlySet<LogEventName> = new Set([
  'requestFinished',
  'requestFailed',
]);

/** Writes events as JSON lines to standard output, never waiting for it. */
export function createEventLog(host: string): EventLog {
  const logger = Roarr.child({application: 'persimmonwickd', host});
  const output = new BoundedOutput(process.stdout);
  return {
    write(name, fields) {
      const {number, level, text} = logEvents[name];
      const isImportant =
        outcomes.has(name) || level === 'warn' || level === 'error';
      // The library writes at once, inside the call.
      ROARR.write = line => output.write(line, isImportant);
      logger[level]({event: number, name, ...fields}, text);
    },
  };
}

/** Drops every event. */
export const silentLog: EventLog = {write: () => {}};
