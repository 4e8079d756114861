/** The callers of a trace, which send its requests and record the answers. */

import {Result} from 'true-myth';
import {untilAborted} from '../abort.js';
import type {Clock} from '../clock.js';
import type {Configuration} from '../configuration/configuration.js';
import type {Trace, TraceCall, TraceCompletion} from '../generated/trace.js';
import type {Host} from '../host/host.js';
import type {AtMostOnceKey} from '../invariants/run-event.js';
import {accountId, anonymousAccount, requestId, routeId} from '../ids.js';
import type {AccountId, RequestId} from '../ids.js';
import {
  findAccountOfKey,
  findModelRoute,
  findServiceRoute,
  hashKey,
} from '../requests/authentication.js';
import type {RequestFailure} from '../requests/failure.js';
import {keysOf, traceModel} from './trace-documents.js';
import type {TraceAnswer, TraceRecorder} from './trace-recorder.js';
import type {VirtualHost} from './virtual-host.js';

/** Timeout of a caller's request. */
export const requestTimeoutMilliseconds = 120_000;

const drainingFailure: RequestFailure = {
  code: 'draining',
  message: 'the host is stopping',
  ran: 'not-run',
};

const notReadyFailure: RequestFailure = {
  code: 'not-ready',
  message: 'the host is not ready for requests',
  ran: 'not-run',
};

/** An arrival of a trace: a completion or a call, possibly repeated. */
export type Arrival = TraceCompletion | TraceCall;

export class TraceCallers {
  private readonly accountsByKey: ReadonlyMap<string, string>;

  constructor(
    trace: Trace,
    private readonly clock: Clock,
    private readonly recorder: TraceRecorder,
  ) {
    this.accountsByKey = new Map(
      trace.fleet.accounts.flatMap(account =>
        keysOf(account).map(key => [key, account.name] as const),
      ),
    );
  }

  /** Sends `arrival` to `host` and records its answer. */
  async send(arrival: Arrival, host: VirtualHost): Promise<void> {
    const request = requestId(arrival.request);
    this.recorder.record({
      kind: 'request-received',
      request,
      host: host.id,
      key: arrival.key,
      // The only open route is `public` in `initialDocuments`.
      isKeyOptional:
        arrival.kind === 'call' && arrival.path.startsWith('/public'),
      atMostOnceKey: this.atMostOnceKeyOf(arrival),
    });
    const process = host.runningProcess;
    if (process === undefined)
      return this.recordAnswer(request, {kind: 'none'});
    const callerDisconnected = new AbortController();
    const {killed} = process;
    const aborted = AbortSignal.any([callerDisconnected.signal, killed.signal]);
    if (arrival.callerLeavesAfterMilliseconds !== undefined)
      void this.clock
        .sleep(arrival.callerLeavesAfterMilliseconds)
        .then(() => callerDisconnected.abort());
    const result = this.handle(
      arrival,
      request,
      host,
      process.host,
      callerDisconnected.signal,
    );
    host.inFlightRequests += 1;
    void result.finally(() => {
      host.inFlightRequests -= 1;
    });
    this.recordAnswer(
      request,
      (await untilAborted(result, aborted)) ?? {kind: 'none'},
    );
  }

  private async handle(
    arrival: Arrival,
    request: RequestId,
    virtualHost: VirtualHost,
    host: Host,
    signal: AbortSignal,
  ): Promise<TraceAnswer> {
    await virtualHost.runningProcess?.gate.waitUntilResumed();
    if (virtualHost.isDraining) return failedAnswer(drainingFailure);
    if (!host.isReady) return failedAnswer(notReadyFailure);
    return arrival.kind === 'call'
      ? this.callService(arrival, request, host, signal)
      : this.streamCompletion(arrival, request, host, signal);
  }

  private async callService(
    arrival: TraceCall,
    request: RequestId,
    host: Host,
    signal: AbortSignal,
  ): Promise<TraceAnswer> {
    const configuration = await host.freshConfiguration();
    const account = authenticate(configuration, arrival.key);
    if (account.isErr) return failedAnswer(account.error);
    const route = findServiceRoute(configuration, arrival.path, account.value);
    if (route.isErr) return failedAnswer(route.error);
    const answer = await host.callService(
      {
        request,
        account: account.value,
        route: route.value,
        idempotencyKey: arrival.idempotencyKey,
        deadline: this.clock.now() + requestTimeoutMilliseconds,
        method: 'POST',
        path: arrival.path,
        headers: account.value ? {'x-client-account': account.value} : {},
        body: undefined,
      },
      signal,
    );
    return answer.isErr ? failedAnswer(answer.error) : {kind: 'whole'};
  }

  private async streamCompletion(
    arrival: TraceCompletion,
    request: RequestId,
    host: Host,
    signal: AbortSignal,
  ): Promise<TraceAnswer> {
    const configuration = await host.freshConfiguration();
    const account = authenticate(configuration, arrival.key);
    if (account.isErr) return failedAnswer(account.error);
    const route = findModelRoute(configuration, traceModel, account.value);
    if (route.isErr) return failedAnswer(route.error);
    const events = host.complete(
      {
        request,
        account: account.value ?? anonymousAccount,
        keyHash: arrival.key === undefined ? undefined : hashKey(arrival.key),
        route: route.value,
        model: traceModel,
        prompt: 'word '.repeat(arrival.promptTokens),
        promptTokens: arrival.promptTokens,
        maximumTokens: arrival.outputTokens,
        deadline: this.clock.now() + requestTimeoutMilliseconds,
      },
      signal,
    );
    for await (const event of events) {
      if (event.kind === 'failed') return failedAnswer(event.failure);
      if (event.kind === 'finished') return {kind: 'whole'};
      if (!signal.aborted) this.recordToken(request, event.offset, event.text);
    }
    return {kind: 'none'};
  }

  private recordToken(request: RequestId, offset: number, text: string): void {
    // Simulated engines produce the text `REQUEST:OFFSET ` for each token.
    const [sourceRequest = '', offsetText] = text.trim().split(':');
    this.recorder.record({
      kind: 'token-delivered',
      request,
      offset: Number(offsetText ?? offset),
      madeFor: requestId(sourceRequest),
    });
  }

  private recordAnswer(request: RequestId, answer: TraceAnswer): void {
    this.recorder.answers.set(request, answer);
    this.recorder.record({
      kind: 'request-answered',
      request,
      answer: this.toCallerAnswer(request, answer),
    });
  }

  /** Converts to the invariant checker's form. A missing answer becomes `cut`. */
  private toCallerAnswer(request: RequestId, answer: TraceAnswer) {
    switch (answer.kind) {
      case 'none':
        return {kind: 'cut'} as const;
      case 'failed':
        return {kind: 'failed', ran: answer.ran} as const;
      case 'whole': {
        const tokens = this.recorder.expectedTokens.get(request) ?? 0;
        return {kind: 'whole', tokens} as const;
      }
    }
  }

  private atMostOnceKeyOf(arrival: Arrival): AtMostOnceKey | undefined {
    if (arrival.kind !== 'call' || arrival.idempotencyKey === undefined)
      return undefined;
    const {idempotencyKey, key = '', path} = arrival;
    return {
      account: accountId(this.accountsByKey.get(key) ?? ''),
      route: routeId(path.split('/')[1] ?? ''),
      idempotencyKey,
    };
  }
}

function failedAnswer({code, ran}: RequestFailure): TraceAnswer {
  return {kind: 'failed', code, ran};
}

/** Returns the account that owns `key`, or undefined if there is no key. */
function authenticate(configuration: Configuration, key: string | undefined) {
  return key === undefined
    ? Result.ok<AccountId | undefined, RequestFailure>(undefined)
    : findAccountOfKey(configuration, hashKey(key));
}
