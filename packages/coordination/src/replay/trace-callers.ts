/** The callers of a trace: they send, read, leave, and record what they saw. */

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

/** Time after which a caller's request ends by itself. */
export const requestTimeoutMilliseconds = 120_000;

const draining: RequestFailure = {
  code: 'draining',
  message: 'the host is stopping',
  ran: 'not-run',
};

const notReady: RequestFailure = {
  code: 'not-ready',
  message: 'the host has just started',
  ran: 'not-run',
};

/** A request of a trace, in the singular. */
export type Arrival = TraceCompletion | TraceCall;

export class TraceCallers {
  private readonly accounts: ReadonlyMap<string, string>;

  constructor(
    trace: Trace,
    private readonly clock: Clock,
    private readonly recorder: TraceRecorder,
  ) {
    this.accounts = new Map(
      trace.fleet.accounts.flatMap(account =>
        keysOf(account).map(key => [key, account.name] as const),
      ),
    );
  }

  /** Sends `arrival` to `host` and records how it ends. */
  async send(arrival: Arrival, host: VirtualHost): Promise<void> {
    const request = requestId(arrival.request);
    this.recorder.record({
      kind: 'request-received',
      request,
      host: host.id,
      key: arrival.key,
      isRouteOpen:
        arrival.kind === 'call' && arrival.path.startsWith('/public'),
      atMostOnceKey: this.onceKeyOf(arrival),
    });
    const process = host.running;
    if (process === undefined) return this.answer(request, {kind: 'none'});
    const left = new AbortController();
    const {killed} = process;
    const gone = AbortSignal.any([left.signal, killed.signal]);
    if (arrival.callerLeavesAfterMilliseconds !== undefined)
      void this.clock
        .sleep(arrival.callerLeavesAfterMilliseconds)
        .then(() => left.abort());
    const result = this.serve(
      arrival,
      request,
      host,
      process.host,
      left.signal,
    );
    host.inFlight += 1;
    void result.finally(() => {
      host.inFlight -= 1;
    });
    this.answer(request, (await untilAborted(result, gone)) ?? {kind: 'none'});
  }

  private async serve(
    arrival: Arrival,
    request: RequestId,
    virtual: VirtualHost,
    host: Host,
    signal: AbortSignal,
  ): Promise<TraceAnswer> {
    await virtual.running?.gate.pass();
    if (virtual.isDraining) return failed(draining);
    if (!host.isReady) return failed(notReady);
    return arrival.kind === 'call'
      ? this.call(arrival, request, host, signal)
      : this.complete(arrival, request, host, signal);
  }

  private async call(
    arrival: TraceCall,
    request: RequestId,
    host: Host,
    signal: AbortSignal,
  ): Promise<TraceAnswer> {
    const configuration = await host.freshConfiguration();
    const account = identify(configuration, arrival.key);
    if (account.isErr) return failed(account.error);
    const route = findServiceRoute(configuration, arrival.path, account.value);
    if (route.isErr) return failed(route.error);
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
    return answer.isErr ? failed(answer.error) : {kind: 'whole'};
  }

  private async complete(
    arrival: TraceCompletion,
    request: RequestId,
    host: Host,
    signal: AbortSignal,
  ): Promise<TraceAnswer> {
    const configuration = await host.freshConfiguration();
    const account = identify(configuration, arrival.key);
    if (account.isErr) return failed(account.error);
    const route = findModelRoute(configuration, traceModel, account.value);
    if (route.isErr) return failed(route.error);
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
      if (event.kind === 'failed') return failed(event.failure);
      if (event.kind === 'finished') return {kind: 'whole'};
      if (!signal.aborted) this.deliver(request, event.offset, event.text);
    }
    return {kind: 'none'};
  }

  private deliver(request: RequestId, offset: number, text: string): void {
    const [madeFor = '', number] = text.trim().split(':');
    this.recorder.record({
      kind: 'token-delivered',
      request,
      offset: Number(number ?? offset),
      madeFor: requestId(madeFor),
    });
  }

  private answer(request: RequestId, answer: TraceAnswer): void {
    this.recorder.answers.set(request, answer);
    this.recorder.record({
      kind: 'request-answered',
      request,
      answer: this.callerAnswer(request, answer),
    });
  }

  private callerAnswer(request: RequestId, answer: TraceAnswer) {
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

  private onceKeyOf(arrival: Arrival): AtMostOnceKey | undefined {
    if (arrival.kind !== 'call' || arrival.idempotencyKey === undefined)
      return undefined;
    const {idempotencyKey, key = '', path} = arrival;
    return {
      account: accountId(this.accounts.get(key) ?? ''),
      route: routeId(path.split('/')[1] ?? ''),
      idempotencyKey,
    };
  }
}

function failed({code, ran}: RequestFailure): TraceAnswer {
  return {kind: 'failed', code, ran};
}

/** The account of a key; undefined without a key. */
function identify(configuration: Configuration, key: string | undefined) {
  return key === undefined
    ? Result.ok<AccountId | undefined, RequestFailure>(undefined)
    : findAccountOfKey(configuration, hashKey(key));
}
