/** The numbered log events; docs/EVENTS.md lists the same ones. */

/** How much an event matters. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

interface LogEventDefinition {
  readonly number: number;
  readonly level: LogLevel;
  readonly text: string;
  readonly fields: readonly string[];
}

export const logEvents = {
  daemonStarted: {
    number: 1001,
    level: 'info',
    text: 'the daemon listens',
    fields: ['host', 'incarnation', 'callers', 'operators', 'peers'],
  },
  daemonStopping: {
    number: 1002,
    level: 'info',
    text: 'the daemon finishes its requests and takes no new ones',
    fields: ['inFlight'],
  },
  daemonStopped: {
    number: 1003,
    level: 'info',
    text: 'the daemon has closed',
    fields: ['cutRequests'],
  },
  configurationApplied: {
    number: 2001,
    level: 'info',
    text: 'a configuration version is in force',
    fields: ['version', 'documents', 'source'],
  },
  configurationRefused: {
    number: 2002,
    level: 'error',
    text: 'a configuration version is refused; the last good one stays',
    fields: ['version', 'faults'],
  },
  platformUnreachable: {
    number: 2003,
    level: 'warn',
    text: 'the platform gave no usable answer',
    fields: ['address', 'reason'],
  },
  peerRefused: {
    number: 2101,
    level: 'warn',
    text: 'a request of another host is refused',
    fields: ['peer', 'code'],
  },
  attemptSwept: {
    number: 2201,
    level: 'warn',
    text: 'memory that an engine held for a gone request is freed',
    fields: ['upstream', 'attempt', 'owner', 'reason'],
  },
  requestFinished: {
    number: 3001,
    level: 'info',
    text: 'a request got its whole answer',
    fields: ['request', 'account', 'route', 'status', 'milliseconds'],
  },
  requestFailed: {
    number: 3002,
    level: 'warn',
    text: 'a request was refused or failed',
    fields: ['request', 'account', 'route', 'status', 'code', 'ran'],
  },
} as const satisfies Record<string, LogEventDefinition>;

export type LogEventName = keyof typeof logEvents;

/** The fields of an event, each a string or a number. */
export type LogFields<Name extends LogEventName> = Record<
  (typeof logEvents)[Name]['fields'][number],
  string | number
>;
