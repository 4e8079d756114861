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
  passthroughStarted: {
    number: 1004,
    level: 'info',
    text: 'the host takes passed-through calls',
    fields: [
      'host',
      'incarnation',
      'callers',
      'beats',
      'fingerprint',
      'milliseconds',
    ],
  },
  settingsUnchanged: {
    number: 1005,
    level: 'info',
    text: 'a signal came to read the settings again; the file is the same',
    fields: ['path', 'fingerprint'],
  },
  settingsApplied: {
    number: 1006,
    level: 'info',
    text: 'the settings file changed; what a running host can take over is in force',
    fields: ['fingerprint', 'applied', 'needRestart'],
  },
  settingsRefused: {
    number: 1007,
    level: 'error',
    text: 'the settings file can not be used; the settings in force stay',
    fields: ['path', 'fingerprint', 'reason'],
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
  platformLost: {
    number: 2004,
    level: 'warn',
    text: 'the platform can not be read; what was read last stays',
    fields: ['reason', 'proofAge'],
  },
  platformRegained: {
    number: 2005,
    level: 'info',
    text: 'the platform is read again',
    fields: ['reason', 'proofAge'],
  },
  platformValueIgnored: {
    number: 2006,
    level: 'warn',
    text: 'a published value can not be used and is left out',
    fields: ['key', 'reason'],
  },
  peerRefused: {
    number: 2101,
    level: 'warn',
    text: 'a request of another host is refused',
    fields: ['peer', 'code'],
  },
  hostChanged: {
    number: 2102,
    level: 'info',
    text: 'what is believed of another host changed',
    fields: ['peer', 'change', 'hosts'],
  },
  beatFailed: {
    number: 2103,
    level: 'warn',
    text: 'a datagram between hosts could not be sent or read',
    fields: ['address', 'reason'],
  },
  attemptSwept: {
    number: 2201,
    level: 'warn',
    text: 'memory that an engine held for a gone request is freed',
    fields: ['upstream', 'attempt', 'owner', 'reason'],
  },
  upstreamChanged: {
    number: 2202,
    level: 'info',
    text: 'the list of upstreams changed',
    fields: ['upstream', 'change', 'address', 'domain'],
  },
  upstreamReachability: {
    number: 2203,
    level: 'info',
    text: 'connections to an upstream fail, or can be made again',
    fields: ['upstream', 'change'],
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
  callAdmitted: {
    number: 3101,
    level: 'info',
    text: 'a passed-through call is admitted',
    fields: ['request', 'route', 'account', 'version', 'proofAge', 'tokens'],
  },
  callOverRate: {
    number: 3102,
    level: 'info',
    text: 'a call is refused because its account has used its rate and burst',
    fields: [
      'request',
      'route',
      'account',
      'version',
      'tokens',
      'level',
      'tokensPerSecond',
      'share',
      'retryAfter',
    ],
  },
  upstreamChosen: {
    number: 3103,
    level: 'info',
    text: 'an upstream is chosen for a part of a call',
    fields: [
      'request',
      'purpose',
      'upstream',
      'candidates',
      'load',
      'slowness',
      'waited',
    ],
  },
  callStageDone: {
    number: 3104,
    level: 'info',
    text: 'an upstream answered a part of a call or failed to',
    fields: ['request', 'purpose', 'upstream', 'outcome', 'took'],
  },
  callRetried: {
    number: 3105,
    level: 'info',
    text: 'a call is sent again',
    fields: ['request', 'reason', 'tries'],
  },
  callRetryWithheld: {
    number: 3106,
    level: 'warn',
    text: 'a call is not sent again because the retry budget is used up',
    fields: ['request', 'reason'],
  },
  streamResumed: {
    number: 3107,
    level: 'info',
    text: 'a stream goes on at another upstream',
    fields: ['request', 'upstream', 'afterEvent'],
  },
} as const satisfies Record<string, LogEventDefinition>;

export type LogEventName = keyof typeof logEvents;

/** The fields of an event, each a string or a number. */
export type LogFields<Name extends LogEventName> = Record<
  (typeof logEvents)[Name]['fields'][number],
  string | number
>;
