/**
 * Calls of plain services: inside the account's rate, repeated only where the
 * route allows it or the upstream proved that it did not run the call, and
 * claimed first where the request may run at most once.
 */

import {createHash} from 'node:crypto';
import {Result} from 'true-myth';
import {notRunRefusal} from '../claims/claim-decision.js';
import type {Claims} from '../claims/claims.js';
import type {ClaimPermit} from '../claims/claim-permit.js';
import type {Clock} from '../clock.js';
import type {Configuration, Upstream} from '../configuration/configuration.js';
import type {ClaimOutcome} from '../generated/messages/persimmonwick/claims.js';
import type {FailureDomainId} from '../ids.js';
import {upstreamId} from '../ids.js';
import type {Limiter} from '../limits/limiter.js';
import type {RandomSource} from '../random.js';
import type {RequestFailure} from '../requests/failure.js';
import {claimFailure, rateFailure} from '../requests/refusals.js';
import {provesNotRun, serviceFailure} from '../requests/retry-safety.js';
import type {
  RoutedServiceCall,
  ServiceAnswer,
  ServiceSender,
} from '../requests/service-call.js';
import {orderServiceUpstreams} from '../requests/service-selection.js';
import type {UpstreamError} from '../upstreams/engine.js';
import type {HostObserver} from './host.js';

export interface ServiceCallsParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly failureDomain: FailureDomainId;
  readonly configuration: () => Configuration;
  readonly limiter: Limiter;
  readonly claims: Claims;
  readonly sender: ServiceSender;
  readonly observer: HostObserver;
}

type Answer = Result<ServiceAnswer, RequestFailure>;

type WholeAnswer = Omit<ServiceAnswer, 'body'> & {readonly body: Uint8Array};

const defaultCostTokens = 1;
const maximumTries = 3;

export class ServiceCalls {
  constructor(private readonly parts: ServiceCallsParts) {}

  /** Runs `call`; `signal` is aborted when its caller has gone. */
  async run(call: RoutedServiceCall, signal: AbortSignal): Promise<Answer> {
    const {target} = call.route.spec;
    if (target.kind !== 'service') return Result.err(noUpstream);
    const {account} = call;
    const isRepeatable = target.repeatable ?? true;
    if (!isRepeatable && call.idempotencyKey === undefined)
      return Result.err(idempotencyKeyMissing);
    const send = () =>
      isRepeatable
        ? this.runRepeatable(call, signal)
        : this.runOnce(call, signal);
    if (account === undefined) return send();
    const cost = target.costTokens ?? defaultCostTokens;
    const {clock, limiter, observer} = this.parts;
    const admission = await limiter.admit(account, cost, signal);
    if (admission.isErr) return Result.err(rateFailure(admission.error));
    const admittedAt = clock.now();
    const answer = await send();
    const used = answer.isErr && answer.error.ran === 'not-run' ? 0 : cost;
    admission.value.settle(used);
    observer.tokensUsed?.(account, used, admittedAt);
    return answer;
  }

  private async runRepeatable(
    call: RoutedServiceCall,
    signal: AbortSignal,
  ): Promise<Answer> {
    let failure = noUpstream;
    for (const upstream of this.candidates(call).slice(0, maximumTries)) {
      const answer = await this.send(upstream, call, signal);
      if (answer.isOk) return Result.ok(answer.value);
      failure = worseOf(failure, serviceFailure(answer.error));
      if (signal.aborted || this.parts.clock.now() >= call.deadline) break;
    }
    return Result.err(failure);
  }

  /**
   * Each try has a claim of its own: the one before was given up, because its
   * upstream had proved that it did not run the request.
   */
  private async runOnce(
    call: RoutedServiceCall,
    signal: AbortSignal,
  ): Promise<Answer> {
    const key = claimKeyOf(call);
    const upstreams = this.candidates(call);
    let failure = noUpstream;
    for (let tries = 0; tries < maximumTries; tries += 1) {
      const decision = await this.parts.claims.begin(
        key,
        call.deadline,
        signal,
      );
      if (decision.isErr) return Result.err(claimFailure(decision.error));
      if (decision.value.kind === 'replay')
        return Result.ok(replayOf(decision.value.outcome));
      const {permit} = decision.value;
      const upstream = upstreams[tries];
      if (upstream === undefined) {
        permit.abandon();
        break;
      }
      const answer = await this.sendClaimed(permit, upstream, call);
      if (answer.isOk) return Result.ok(answer.value);
      failure = answer.error;
      if (failure.ran !== 'not-run' || signal.aborted) break;
    }
    return Result.err(failure);
  }

  /**
   * The caller's leaving does not end a call that has been written: its outcome
   * is wanted by the next try.
   */
  private async sendClaimed(
    permit: ClaimPermit,
    upstream: Upstream,
    call: RoutedServiceCall,
  ): Promise<Answer> {
    const marked = permit.markSending();
    if (marked.isErr)
      return Result.err(claimFailure(notRunRefusal('deadline')));
    const answer = await this.sendWhole(upstream, call);
    if (answer.isOk) {
      const {status, headers, body} = answer.value;
      void permit.record(outcomeOf(status, headers, body));
      return Result.ok({status, headers, body: [body]});
    }
    if (provesNotRun(answer.error)) permit.abandonNotExecuted();
    else permit.markOutcomeUnknown();
    return Result.err(serviceFailure(answer.error));
  }

  /** Sends and reads the whole answer, which is the outcome to keep. */
  private async sendWhole(
    upstream: Upstream,
    call: RoutedServiceCall,
  ): Promise<Result<WholeAnswer, UpstreamError>> {
    const answer = await this.send(upstream, call);
    if (answer.isErr) return Result.err(answer.error);
    try {
      const chunks: Uint8Array[] = [];
      for await (const chunk of answer.value.body) chunks.push(chunk);
      return Result.ok({...answer.value, body: Buffer.concat(chunks)});
    } catch {
      const upstreamName = upstreamId(upstream.name);
      return Result.err({kind: 'broken', upstream: upstreamName});
    }
  }

  private async send(
    upstream: Upstream,
    call: RoutedServiceCall,
    signal?: AbortSignal,
  ): Promise<Result<ServiceAnswer, UpstreamError>> {
    const {clock, sender} = this.parts;
    const ended = new AbortController();
    const end = () => {
      signal?.removeEventListener('abort', end);
      ended.abort();
    };
    signal?.addEventListener('abort', end);
    if (signal?.aborted) end();
    // The call is written before anything is awaited: a claim that was checked
    // just now still holds.
    const answer = sender.send(upstream, call, ended.signal);
    void clock.sleep(call.deadline - clock.now(), ended.signal).then(end);
    const result = await answer;
    if (result.isErr) {
      end();
      return result.mapErr(error => ofDeadline(error, signal));
    }
    const body = untilRead(result.value.body, end);
    return Result.ok({...result.value, body});
  }

  private candidates(call: RoutedServiceCall): Upstream[] {
    const {configuration, failureDomain, random} = this.parts;
    return orderServiceUpstreams(
      configuration(),
      call.route,
      failureDomain,
      random,
    );
  }
}

const noUpstream: RequestFailure = {
  code: 'no-upstream',
  message: 'no live upstream serves this route',
  ran: 'not-run',
  retryAfterMilliseconds: 1000,
};

const idempotencyKeyMissing: RequestFailure = {
  code: 'idempotency-key-missing',
  message: 'this route needs an Idempotency-Key header',
  ran: 'not-run',
};

/** A call that nobody cancelled was ended by its deadline. */
function ofDeadline(
  error: UpstreamError,
  caller: AbortSignal | undefined,
): UpstreamError {
  return error.kind === 'cancelled' && caller?.aborted !== true
    ? {kind: 'silent', upstream: error.upstream}
    : error;
}

/** Passes `body` on and calls `end` when its reader is done with it. */
async function* untilRead(
  body: ServiceAnswer['body'],
  end: () => void,
): AsyncGenerator<Uint8Array> {
  try {
    yield* body;
  } finally {
    end();
  }
}

/** Of two failures of one call, the one that says less is known. */
function worseOf(
  earlier: RequestFailure,
  later: RequestFailure,
): RequestFailure {
  return earlier.ran === 'unknown' && later.ran === 'not-run' ? earlier : later;
}

function claimKeyOf(call: RoutedServiceCall) {
  const fingerprint = createHash('sha256')
    .update(`${call.method} ${call.path}\n`)
    .update(call.body ?? '')
    .digest('hex');
  return {
    account: call.account ?? '',
    route: call.route.name,
    idempotencyKey: call.idempotencyKey ?? '',
    fingerprint,
  };
}

function outcomeOf(
  status: number,
  headers: ServiceAnswer['headers'],
  body: Uint8Array,
): ClaimOutcome {
  const contentType = headers['content-type'];
  return {
    status,
    contentType: typeof contentType === 'string' ? contentType : '',
    body,
    bodyOmitted: false,
  };
}

function replayOf(outcome: ClaimOutcome): ServiceAnswer {
  return {
    status: outcome.status,
    headers: {
      ...(outcome.contentType && {'content-type': outcome.contentType}),
      'idempotency-replayed': outcome.bodyOmitted ? 'without-body' : 'true',
    },
    body: [outcome.body],
  };
}
