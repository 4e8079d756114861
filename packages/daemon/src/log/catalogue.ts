/** The numbered log events. A test compares them with docs/EVENTS.md. */

/** Severity of an event. */
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
    text: 'the daemon is listening',
    fields: ['host', 'incarnation', 'callers', 'operators', 'peers'],
  },
  daemonStopping: {
    number: 1002,
    level: 'info',
    text: 'the daemon is draining and accepts no new requests',
    fields: ['inFlight'],
  },
  daemonStopped: {
    number: 1003,
    level: 'info',
    text: 'the daemon has stopped',
    fields: ['cutRequests'],
  },
  passthroughStarted: {
    number: 1004,
    level: 'info',
    text: 'the host accepts passed-through calls',
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
    text: 'a signal to reload the settings was received; the file is unchanged',
    fields: ['path', 'fingerprint'],
  },
  settingsApplied: {
    number: 1006,
    level: 'info',
    text: 'the settings file changed; settings that need no restart were applied',
    fields: ['fingerprint', 'applied', 'needRestart'],
  },
  settingsRefused: {
    number: 1007,
    level: 'error',
    text: 'the settings file can not be used; the previous settings stay in force',
    fields: ['path', 'fingerprint', 'reason'],
  },
  processStalled: {
    number: 1008,
    level: 'warn',
    text: 'the process did not run for some time; timeouts that ended meanwhile may have been its own delay',
    fields: ['milliseconds'],
  },
  configurationApplied: {
    number: 2001,
    level: 'info',
    text: 'a configuration version was applied',
    fields: ['version', 'documents', 'source'],
  },
  configurationRefused: {
    number: 2002,
    level: 'error',
    text: 'a configuration version was refused; the last valid version stays in force',
    fields: ['version', 'faults'],
  },
  platformUnreachable: {
    number: 2003,
    level: 'warn',
    text: 'a request to the platform failed',
    fields: ['address', 'reason'],
  },
  platformLost: {
    number: 2004,
    level: 'warn',
    text: 'the platform can not be read; the last values read stay in force',
    fields: ['reason', 'proofAge'],
  },
  platformRegained: {
    number: 2005,
    level: 'info',
    text: 'the platform can be read again',
    fields: ['reason', 'proofAge'],
  },
  platformValueIgnored: {
    number: 2006,
    level: 'warn',
    text: 'a published value is malformed and was ignored',
    fields: ['key', 'reason'],
  },
  platformReadFailed: {
    number: 2007,
    level: 'warn',
    text: 'one read of the platform failed; it is repeated',
    fields: ['subject', 'reason'],
  },
  platformRestored: {
    number: 2008,
    level: 'warn',
    text: 'the platform came back from an older copy; reads prove nothing until lost writes are repeated',
    fields: ['epoch', 'version'],
  },
  configurationSuperseded: {
    number: 2009,
    level: 'warn',
    text: 'the platform returned an older version than one that is in force at this host or a peer; it is ignored',
    fields: ['version', 'inForce'],
  },
  peerRefused: {
    number: 2101,
    level: 'warn',
    text: 'a request from another host was refused',
    fields: ['peer', 'code'],
  },
  hostChanged: {
    number: 2102,
    level: 'info',
    text: 'the known state of another host changed',
    fields: ['peer', 'change', 'hosts'],
  },
  beatFailed: {
    number: 2103,
    level: 'warn',
    text: 'a heartbeat between hosts could not be sent or decoded',
    fields: ['address', 'reason'],
  },
  hostsChanged: {
    number: 2104,
    level: 'info',
    text: 'more hosts changed in the same way than are logged one by one',
    fields: ['change', 'count', 'hosts'],
  },
  attemptSwept: {
    number: 2201,
    level: 'warn',
    text: 'an engine attempt was cancelled and its memory freed because its owner host disowned it, was replaced or is silent',
    fields: ['upstream', 'attempt', 'owner', 'reason'],
  },
  upstreamChanged: {
    number: 2202,
    level: 'info',
    text: 'an upstream was added, changed its state or was removed',
    fields: ['upstream', 'change', 'address', 'domain', 'softwareVersion'],
  },
  upstreamReachability: {
    number: 2203,
    level: 'info',
    text: 'an upstream became unreachable or reachable again',
    fields: ['upstream', 'change'],
  },
  upstreamLeaving: {
    number: 2204,
    level: 'info',
    text: 'an upstream announced in a response that it is leaving',
    fields: ['upstream'],
  },
  upstreamPaused: {
    number: 2205,
    level: 'info',
    text: 'an upstream asked to be sent nothing for some time',
    fields: ['upstream', 'milliseconds', 'asked'],
  },
  partSuspected: {
    number: 2206,
    level: 'warn',
    text: 'an upstream went down before it answered a request with this prompt part or fingerprint',
    fields: ['part', 'upstream', 'losses', 'source'],
  },
  partQuarantined: {
    number: 2207,
    level: 'error',
    text: 'a prompt part or a repeated request crashes upstreams; requests with it are refused',
    fields: ['part', 'losses', 'source', 'milliseconds'],
  },
  partReleased: {
    number: 2208,
    level: 'info',
    text: 'requests with a prompt part or fingerprint are forwarded again',
    fields: ['part', 'reason'],
  },
  suspectDropped: {
    number: 2209,
    level: 'warn',
    text: 'too many prompt parts and requests are suspect; the oldest is no longer tracked',
    fields: ['part'],
  },
  upstreamLimited: {
    number: 2210,
    level: 'info',
    text: 'an upstream named how many requests a second it takes from all hosts',
    fields: ['upstream', 'perSecond', 'source', 'age'],
  },
  upstreamUnlimited: {
    number: 2211,
    level: 'info',
    text: 'an upstream no longer names a limit of its requests',
    fields: ['upstream', 'source', 'age'],
  },
  linkSilent: {
    number: 2212,
    level: 'warn',
    text: 'an upstream did not answer a probe by a request; it gets no calls until it answers one',
    fields: ['upstream', 'milliseconds'],
  },
  silenceProbeAnswered: {
    number: 2213,
    level: 'info',
    text: 'an upstream that sent no byte to a call in time answered a probe',
    fields: ['upstream', 'milliseconds'],
  },
  domainEvacuated: {
    number: 2214,
    level: 'warn',
    text: 'the evacuation of a failure domain began; nothing more is sent to its upstreams',
    fields: ['domain', 'evacuated'],
  },
  domainReturned: {
    number: 2215,
    level: 'info',
    text: 'the evacuation of a failure domain ended; calls to its upstreams grow over some seconds',
    fields: ['domain', 'evacuated'],
  },
  domainSharesChanged: {
    number: 2217,
    level: 'info',
    text: 'the shares of work that hosts of a failure domain send to other domains changed',
    fields: ['pool', 'work', 'domain', 'shares', 'reason'],
  },
  upstreamCold: {
    number: 2221,
    level: 'info',
    text: 'an upstream is cold; all hosts together send it only the rate of its pool',
    fields: ['upstream', 'source', 'milliseconds'],
  },
  retryShareChanged: {
    number: 2222,
    level: 'info',
    text: 'this host may now use a part of the extra retries of all hosts (counted), or not: it has started, or is out of contact with most seeds (detached)',
    fields: ['standing', 'hosts', 'contactAge'],
  },
  requestFinished: {
    number: 3001,
    level: 'info',
    text: 'a request was answered completely',
    fields: ['request', 'account', 'route', 'status', 'milliseconds'],
  },
  requestFailed: {
    number: 3002,
    level: 'warn',
    text: 'a request was refused or failed',
    fields: ['request', 'account', 'route', 'status', 'code', 'ran'],
  },
  internalError: {
    number: 3003,
    level: 'error',
    text: 'an unexpected error ended one call; the host goes on',
    fields: ['request', 'reason'],
  },
  // 31xx: passed-through calls.
  callAdmitted: {
    number: 3101,
    level: 'info',
    text: 'a passed-through call was admitted',
    fields: ['request', 'route', 'account', 'version', 'proofAge', 'tokens'],
  },
  callOverRate: {
    number: 3102,
    level: 'info',
    text: 'a call was refused because its account exceeded its rate and burst',
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
    text: 'an upstream was chosen for a stage of a call',
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
    text: 'an upstream completed or failed a stage of a call',
    fields: ['request', 'purpose', 'upstream', 'outcome', 'took'],
  },
  callRetried: {
    number: 3105,
    level: 'info',
    text: 'a call may be sent once more, within the retry budget of its pool',
    fields: [
      'request',
      'reason',
      'tries',
      'pool',
      'acquired',
      'available',
      'spent',
      'standing',
      'hosts',
    ],
  },
  callRetryWithheld: {
    number: 3106,
    level: 'warn',
    text: 'a failed or silent call was not attempted again: limit says what forbids it',
    fields: ['request', 'reason', 'limit'],
  },
  streamResumed: {
    number: 3107,
    level: 'info',
    text: 'a stream was resumed at another upstream',
    fields: ['request', 'upstream', 'afterEvent', 'softwareVersion'],
  },
  streamInterrupted: {
    number: 3108,
    level: 'info',
    text: 'a stream ended early: broken by the upstream, or silent or cancelled as this host decided',
    fields: [
      'request',
      'upstream',
      'reason',
      'events',
      'millisecondsSinceByte',
      'millisecondsSinceEvent',
      'version',
      'softwareVersion',
    ],
  },
  callQuarantined: {
    number: 3109,
    level: 'warn',
    text: 'a call was refused because a part of its prompt, or the call itself, is in quarantine',
    fields: ['request', 'part', 'remaining'],
  },
  connectionLost: {
    number: 3110,
    level: 'warn',
    text: 'the connection to an upstream failed after a call was sent to it',
    fields: ['request', 'upstream', 'events', 'parts', 'fingerprint'],
  },
  callLimited: {
    number: 3111,
    level: 'info',
    text: 'a plain call waits or was refused because its upstreams have reached the limits that they named',
    fields: ['request', 'wait', 'ahead', 'outcome'],
  },
  streamTakenUp: {
    number: 3112,
    level: 'info',
    text: 'a caller takes up a stream that an earlier call began',
    fields: [
      'request',
      'origin',
      'afterEvent',
      'pool',
      'softwareVersion',
      'source',
      'waited',
      'outcome',
    ],
  },
  callHandedOver: {
    number: 3113,
    level: 'info',
    text: 'a call was handed over to another host, because this one reaches no upstream of its pool',
    fields: ['request', 'peer', 'reportAge', 'outcome', 'took'],
  },
  callTakenOver: {
    number: 3114,
    level: 'info',
    text: 'a call was taken over from another host',
    fields: ['request', 'peer'],
  },
  streamVersionUncertain: {
    number: 3115,
    level: 'warn',
    text: 'the software version that began a stream is not certain; it will not be continued',
    fields: [
      'request',
      'upstream',
      'softwareVersion',
      'laterVersion',
      'reason',
    ],
  },
  upstreamProcessUncertain: {
    number: 3116,
    level: 'warn',
    text: 'an engine was not used to continue a stream, because its process may have another software version',
    fields: [
      'request',
      'upstream',
      'softwareVersion',
      'listedStart',
      'statedStart',
    ],
  },
  callPlacementRestricted: {
    number: 3120,
    level: 'warn',
    text: 'a call was refused while upstreams of its route may not serve it: reason says why',
    fields: [
      'request',
      'route',
      'account',
      'reason',
      'eligible',
      'regions',
      'evacuated',
    ],
  },
  callRefusedByForecast: {
    number: 3124,
    level: 'info',
    text: 'a call was refused because engine memory is forecast to be free too late for it',
    fields: ['request', 'forecast', 'waited', 'urgency', 'tokensAhead'],
  },
  callLeftDomain: {
    number: 3129,
    level: 'info',
    text: 'a stage of a call goes to another failure domain',
    fields: ['request', 'purpose', 'domain', 'reason', 'bytes'],
  },
  callRepeated: {
    number: 3130,
    level: 'info',
    text: 'an upstream may have received a call that one had received before',
    fields: ['request', 'pool', 'purpose', 'reason'],
  },
  callSendWithheld: {
    number: 3131,
    level: 'info',
    text: 'a call was not sent to the upstream that had been chosen for it: reason says what changed since',
    fields: ['request', 'upstream', 'reason'],
  },
} as const satisfies Record<string, LogEventDefinition>;

export type LogEventName = keyof typeof logEvents;

/** The fields of an event with their values. */
export type LogFields<Name extends LogEventName> = Record<
  (typeof logEvents)[Name]['fields'][number],
  string | number
>;
