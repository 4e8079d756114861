/** Structured logging of the numbered events. */

import './enable-roarr.js';
import {Roarr} from 'roarr';
import {logEvents} from './catalogue.js';
import type {LogEventName, LogFields} from './catalogue.js';

/** Writes numbered events. */
export interface EventLog {
  write<Name extends LogEventName>(name: Name, fields: LogFields<Name>): void;
}

/** Writes events as JSON lines to standard output. */
export function createEventLog(host: string): EventLog {
  const logger = Roarr.child({application: 'persimmonwickd', host});
  return {
    write(name, fields) {
      const {number, level, text} = logEvents[name];
      logger[level]({event: number, name, ...fields}, text);
    },
  };
}

/** Drops every event. */
export const silentLog: EventLog = {write: () => {}};
