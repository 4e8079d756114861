/** Log entries for the events of a passthrough host. */

import type {
  CallEvent,
  HeldTotal,
  ProcessorTimeChange,
  QuarantineChange,
  RequestLimitChange,
  RequestMemoryEvent,
  RequestTotal,
  ResponseMemoryEvent,
  ShareChange,
  SilenceProbe,
  UpstreamDocument,
} from '@persimmonwick/coordination';
import type {EventLog} from '../log/logger.js';
import {endingPartyOf} from './connection-end.js';
import type {ConnectionLoss, UnreadInput} from './caller-connection.js';
import type {CallSummary} from './call-context.js';

/** Logs one event of a call. `version` is the configuration in force. */
export function logCallEvent(
  log: EventLog,
  requestId: string,
  event: CallEvent,
  version: string,
): void {
  switch (event.kind) {
    case 'admitted': {
      const {kind: _, ...fields} = event;
      return log.write('callAdmitted', {
        request: requestId,
        ...roundNumbers(fields),
      });
    }
    case 'over-rate': {
      const {kind: _, ...fields} = event;
      return log.write('callOverRate', {
        request: requestId,
        ...roundNumbers(fields),
      });
    }
    case 'chosen': {
      const {kind: _, ...fields} = event;
      return log.write('upstreamChosen', {
        request: requestId,
        ...roundNumbers(fields),
      });
    }
    case 'stage-done': {
      const {kind: _, ...fields} = event;
      return log.write('callStageDone', {
        request: requestId,
        ...roundNumbers(fields),
      });
    }
    case 'retried': {
      const {kind: _, ...fields} = event;
      return log.write('callRetried', {
        request: requestId,
        ...roundNumbers(fields),
      });
    }
    case 'repeated': {
      const {kind: _, ...fields} = event;
      return log.write('callRepeated', {request: requestId, ...fields});
    }
    case 'retry-withheld':
      return log.write('callRetryWithheld', {
        request: requestId,
        reason: event.reason,
        limit: event.limit,
      });
    case 'interrupted': {
      const {kind: _, ...fields} = event;
      return log.write('streamInterrupted', {
        request: requestId,
        version,
        ...roundNumbers(fields),
      });
    }
    case 'resumed': {
      const {kind: _, ...fields} = event;
      return log.write('streamResumed', {request: requestId, ...fields});
    }
    case 'not-resumed': {
      const {kind: _, ...fields} = event;
      return log.write('streamNotResumed', {request: requestId, ...fields});
    }
    case 'taken-up': {
      const {kind: _, ...fields} = event;
      return log.write('streamTakenUp', {
        request: requestId,
        ...roundNumbers(fields),
      });
    }
    case 'version-uncertain': {
      const {kind: _, ...fields} = event;
      return log.write('streamVersionUncertain', {
        request: requestId,
        ...fields,
      });
    }
    case 'other-process': {
      const {kind: _, ...fields} = event;
      return log.write('upstreamProcessUncertain', {
        request: requestId,
        ...fields,
      });
    }
    case 'connection-lost': {
      const {kind: _, ...fields} = event;
      return log.write('connectionLost', {request: requestId, ...fields});
    }
    case 'limit-reached': {
      const {kind: _, wait, ...fields} = event;
      return log.write('callLimited', {
        request: requestId,
        ...roundNumbers(fields),
        wait: Number.isFinite(wait) ? Math.round(wait) : otherHostsOnly,
      });
    }
    case 'queue-refused': {
      const {kind: _, forecast, ...fields} = event;
      return log.write('callRefusedByForecast', {
        request: requestId,
        ...roundNumbers(fields),
        forecast: Number.isFinite(forecast)
          ? Math.round(forecast)
          : neverStarts,
      });
    }
    case 'queue-left':
      // Counted in the metrics.
      return;
    case 'handed-over': {
      const {kind: _, ...fields} = event;
      return log.write('callHandedOver', {
        request: requestId,
        ...roundNumbers(fields),
      });
    }
    case 'send-withheld': {
      const {kind: _, ...fields} = event;
      return log.write('callSendWithheld', {request: requestId, ...fields});
    }
    case 'placement-restricted': {
      const {kind: _, ...fields} = event;
      return log.write('callPlacementRestricted', {
        request: requestId,
        ...fields,
      });
    }
    case 'domain-left': {
      const {kind: _, ...fields} = event;
      return log.write('callLeftDomain', {request: requestId, ...fields});
    }
    case 'quarantine-refused': {
      const {kind: _, ...fields} = event;
      return log.write('callQuarantined', {request: requestId, ...fields});
    }
  }
}

/** Logs a change of the quarantine. */
export function logQuarantineChange(
  log: EventLog,
  change: QuarantineChange,
): void {
  switch (change.kind) {
    case 'suspected': {
      const {kind: _, trait: part, ...fields} = change;
      return log.write('partSuspected', {part, ...fields});
    }
    case 'quarantined': {
      const {trait: part, losses, source, remainingMilliseconds} = change;
      const milliseconds = Math.round(remainingMilliseconds);
      return log.write('partQuarantined', {part, losses, source, milliseconds});
    }
    case 'released':
      return log.write('partReleased', {
        part: change.trait,
        reason: change.reason,
      });
    case 'dropped':
      return log.write('suspectDropped', {part: change.trait});
  }
}

/** Logs that an upstream named, changed or no longer names a request limit. */
export function logRequestLimitChange(
  log: EventLog,
  {upstream, requestsPerSecond, source, ageMilliseconds}: RequestLimitChange,
): void {
  const common = {upstream, source, age: Math.round(ageMilliseconds)};
  if (requestsPerSecond === undefined) log.write('upstreamUnlimited', common);
  else log.write('upstreamLimited', {...common, perSecond: requestsPerSecond});
}

/** Logs which shares of the work of a failure domain go to other domains. */
export function logShareChange(
  log: EventLog,
  {pool, kind, from, decision}: ShareChange,
): void {
  const isLeaving = decision.kind === 'leave';
  const shares = isLeaving ? [...decision.shares] : [];
  log.write('domainSharesChanged', {
    pool,
    work: kind,
    domain: from,
    shares: shares
      .map(([domain, share]) => `${domain}=${share.toFixed(2)}`)
      .join(' '),
    reason: isLeaving ? decision.reason : '',
  });
}

export function logResponseMemory(
  log: EventLog,
  event: ResponseMemoryEvent,
  total: HeldTotal,
): void {
  switch (event.kind) {
    case 'shortage':
      return log.write('responseMemoryChanged', {
        memory: event.isShort ? 'short' : 'enough',
        ...total,
      });
    case 'given-up': {
      const {upstream, incompleteBytes} = event;
      return log.write('responseGivenUp', {
        upstream,
        incompleteBytes,
        ...total,
      });
    }
  }
}

/** Logs the begin and the end of a shortage of processor time. */
export function logProcessorTime(
  log: EventLog,
  change: ProcessorTimeChange,
): void {
  const processorTime = change.kind;
  const waitMilliseconds = Math.round(change.waitMilliseconds);
  switch (change.kind) {
    case 'short':
      return log.write('processorTimeChanged', {
        ...{processorTime, waitMilliseconds},
        lateCalls: 0,
        refusedCalls: 0,
        milliseconds: 0,
      });
    case 'enough':
      return log.write('processorTimeChanged', {
        ...{processorTime, waitMilliseconds},
        lateCalls: change.lateCalls,
        refusedCalls: change.refusedCalls,
        milliseconds: Math.round(change.milliseconds),
      });
  }
}

/** Logs an event of the memory for the bodies of requests. */
export function logRequestMemory(
  log: EventLog,
  event: RequestMemoryEvent,
  {budgetBytes, smallBytes, largeBytes, bodies, waiting}: RequestTotal,
): void {
  const total = {
    ...{heldBytes: smallBytes + largeBytes, budgetBytes, bodies, waiting},
  };
  switch (event.kind) {
    case 'shortage':
      return log.write('requestMemoryChanged', {
        memory: event.isShort ? 'short' : 'enough',
        ...total,
      });
    case 'ended': {
      const {requestId: request, end: reason, receivedBytes} = event;
      return log.write('requestBodyRefused', {
        ...{request, reason, receivedBytes, ...total},
      });
    }
  }
}

/** Logs the outcome of a call. */
export function logCallEnd(
  log: EventLog,
  {
    requestId,
    account,
    route,
    status,
    durationMilliseconds,
    failure,
    cause,
    timing: {unread, body, send, stop},
  }: CallSummary,
): void {
  const common = {request: requestId, account, route, status};
  const milliseconds = Math.round(durationMilliseconds);
  if (failure === undefined)
    log.write('requestFinished', {...common, milliseconds});
  else
    log.write('requestFailed', {
      ...common,
      code: failure.code,
      ran: failure.ran,
      cause,
      milliseconds,
      ...roundNumbers({
        bodyMilliseconds: body ?? unknownTime,
        sendMilliseconds: send ?? unknownTime,
        unreadMilliseconds: unread,
        millisecondsSinceStop: stop?.sinceStop ?? notStopping,
        expectedMilliseconds: stop?.expected ?? unknownTime,
      }),
    });
}

/** Logs the end of a caller's connection before its calls were answered. */
export function logConnectionLoss(
  log: EventLog,
  {reason, calls, durationMilliseconds, millisecondsSinceStop}: ConnectionLoss,
): void {
  const [first] = calls;
  log.write('callerConnectionEnded', {
    request: first?.requestId ?? '',
    by: endingPartyOf(reason),
    reason,
    calls: calls.length,
    progress: first?.progress ?? '',
    milliseconds: Math.round(durationMilliseconds),
    millisecondsSinceStop: Math.round(millisecondsSinceStop ?? notStopping),
  });
}

/** Logs the end of a caller's connection before its last bytes were read. */
export function logUnreadInput(
  log: EventLog,
  {reason, requestId, durationMilliseconds, millisecondsSinceStop}: UnreadInput,
): void {
  log.write('callerInputUnread', {
    request: requestId,
    by: endingPartyOf(reason),
    reason,
    milliseconds: Math.round(durationMilliseconds),
    millisecondsSinceStop: Math.round(millisecondsSinceStop ?? notStopping),
  });
}

/** Logs the upstreams that joined, are leaving or are gone. */
export function logUpstreamChanges(
  log: EventLog,
  changes: Readonly<
    Record<'joined' | 'leaving' | 'gone', readonly UpstreamDocument[]>
  >,
): void {
  for (const change of ['joined', 'leaving', 'gone'] as const)
    for (const {name, spec} of changes[change])
      log.write('upstreamChanged', {
        upstream: name,
        change,
        address: spec.address,
        domain: spec.failureDomain,
        softwareVersion: spec.softwareVersion ?? '',
      });
}

/** Logs whether an upstream accepts connections. */
export function logUpstreamReachability(
  log: EventLog,
  upstream: string,
  isReachable: boolean,
): void {
  const change = isReachable ? 'reached' : 'unreachable';
  log.write('upstreamReachability', {upstream, change});
}

/**
 * Logs a probe of an upstream that sent no byte to a call in time, unless the
 * upstream is suspended, which is logged once.
 */
export function logSilenceProbe(
  log: EventLog,
  {upstream, outcome, milliseconds, isSuspended}: SilenceProbe,
): void {
  if (isSuspended) return;
  const name = outcome === 'answered' ? 'silenceProbeAnswered' : 'linkSilent';
  log.write(name, {upstream, milliseconds: Math.round(milliseconds)});
}

const roundingFactor = 100;

/** Logged as the time since the signal to stop of a host that had none. */
const notStopping = -1;

/** Logged as the time of a step that a call did not reach. */
const unknownTime = -1;

/** Logged as the wait of a call that only other hosts may send. */
const otherHostsOnly = -1;

/** Logged as the forecast of a call that calls ahead would never let start. */
const neverStarts = -1;

/** Rounds numeric fields to two decimals. */
function roundNumbers<Fields extends Record<string, string | number>>(
  fields: Fields,
): Fields {
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [
      name,
      typeof value === 'number'
        ? Math.round(value * roundingFactor) / roundingFactor
        : value,
    ]),
  ) as Fields;
}
