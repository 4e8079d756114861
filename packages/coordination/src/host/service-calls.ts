/**
 * Passes calls through to plain services within the account's rate limit. A
 * call is retried only if the route allows it or the upstream proved that it
 * did not run the call. At-most-once calls are claimed before they are sent.
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
import {claimFailure, rateLimitFailure} from '../requests/refusals.js';
import {provesNotRun, serviceFailure} from '../requests/retry-safety.js';
import type {
  RoutedServiceCall,
  ServiceResponse,
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

type CallResult = Result<ServiceResponse, RequestFailure>;

type BufferedResponse = Omit<ServiceResponse, 'body'> & {
  readonly body: Uint8Array;
};

const defaultCostTokens = 1;
const maximumAttempts = 3;

export class ServiceCalls {
  constructor(private readonly parts: ServiceCallsParts) {}

  /** Passes `call` through. `signal` is aborted when the caller disconnects. */
  async run(call: RoutedServiceCall, signal: AbortSignal): Promise<CallResult> {
    const {target} = call.route.spec;
    if (target.kind !== 'service') return Result.err(noUpstreamFailure);
    const {account} = call;
    const isRepeatable = target.repeatable ?? true;
    if (!isRepeatable && call.idempotencyKey === undefined)
      return Result.err(missingIdempotencyKeyFailure);
    const runAttempts = () =>
      isRepeatable
        ? this.runRepeatable(call, signal)
        : this.runAtMostOnce(call, signal);
    if (account === undefined) return runAttempts();
    const cost = target.costTokens ?? defaultCostTokens;
    const {clock, limiter, observer} = this.parts;
    const admission = await limiter.admit(account, cost, signal);
    if (admission.isErr) return Result.err(rateLimitFailure(admission.error));
    const admittedAt = clock.now();
    const result = await runAttempts();
    const chargedTokens =
      result.isErr && result.error.ran === 'not-run' ? 0 : cost;
    admission.value.settle(chargedTokens);
    observer.tokensUsed?.(account, chargedTokens, admittedAt);
    return result;
  }

  private async runRepeatable(
    call: RoutedServiceCall,
    signal: AbortSignal,
  ): Promise<CallResult> {
    let failure = noUpstreamFailure;
    for (const upstream of this.candidates(call).slice(0, maximumAttempts)) {
      const result = await this.send(upstream, call, signal);
      if (result.isOk) return Result.ok(result.value);
      failure = lessCertainOf(failure, serviceFailure(result.error));
      if (signal.aborted || this.parts.clock.now() >= call.deadline) break;
    }
    return Result.err(failure);
  }

  /**
   * Each attempt has its own claim. The previous claim was abandoned because
   * its upstream proved that it did not run the call.
   */
  private async runAtMostOnce(
    call: RoutedServiceCall,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const key = claimKeyOf(call);
    const upstreams = this.candidates(call);
    let failure = noUpstreamFailure;
    for (
      let attemptIndex = 0;
      attemptIndex < maximumAttempts;
      attemptIndex += 1
    ) {
      const decision = await this.parts.claims.begin(
        key,
        call.deadline,
        signal,
      );
      if (decision.isErr) return Result.err(claimFailure(decision.error));
      if (decision.value.kind === 'replay')
        return Result.ok(replayedResponseOf(decision.value.outcome));
      const {permit} = decision.value;
      const upstream = upstreams[attemptIndex];
      if (upstream === undefined) {
        permit.abandon();
        break;
      }
      const result = await this.sendClaimed(permit, upstream, call);
      if (result.isOk) return Result.ok(result.value);
      failure = result.error;
      if (failure.ran !== 'not-run' || signal.aborted) break;
    }
    return Result.err(failure);
  }

  /**
   * A call that was sent continues when the caller disconnects, because a later
   * call with the same idempotency key needs its outcome.
   */
  private async sendClaimed(
    permit: ClaimPermit,
    upstream: Upstream,
    call: RoutedServiceCall,
  ): Promise<CallResult> {
    const markResult = permit.markSending();
    if (markResult.isErr)
      return Result.err(claimFailure(notRunRefusal('deadline')));
    const result = await this.sendAndReadBody(upstream, call);
    if (result.isOk) {
      const {status, headers, body} = result.value;
      void permit.record(outcomeOf(status, headers, body));
      return Result.ok({status, headers, body: [body]});
    }
    if (provesNotRun(result.error)) permit.markNotExecuted();
    else permit.markOutcomeUnknown();
    return Result.err(serviceFailure(result.error));
  }

  /**
   * Sends the call and reads the whole response, which is recorded as outcome.
   */
  private async sendAndReadBody(
    upstream: Upstream,
    call: RoutedServiceCall,
  ): Promise<Result<BufferedResponse, UpstreamError>> {
    const result = await this.send(upstream, call);
    if (result.isErr) return Result.err(result.error);
    try {
      const chunks: Uint8Array[] = [];
      for await (const chunk of result.value.body) chunks.push(chunk);
      return Result.ok({...result.value, body: Buffer.concat(chunks)});
    } catch {
      const upstreamName = upstreamId(upstream.name);
      return Result.err({kind: 'broken', upstream: upstreamName});
    }
  }

  private async send(
    upstream: Upstream,
    call: RoutedServiceCall,
    signal?: AbortSignal,
  ): Promise<Result<ServiceResponse, UpstreamError>> {
    const {clock, sender} = this.parts;
    const controller = new AbortController();
    const finish = () => {
      signal?.removeEventListener('abort', finish);
      controller.abort();
    };
    signal?.addEventListener('abort', finish);
    if (signal?.aborted) finish();
    // The call is sent before the first await, while the claim that was just
    // checked is still valid.
    const pendingResult = sender.send(upstream, call, controller.signal);
    void clock
      .sleep(call.deadline - clock.now(), controller.signal)
      .then(finish);
    const result = await pendingResult;
    if (result.isErr) {
      finish();
      return result.mapErr(error => asDeadlineError(error, signal));
    }
    const body = readThenFinish(result.value.body, finish);
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

const noUpstreamFailure: RequestFailure = {
  code: 'no-upstream',
  message: 'no live upstream serves this route',
  ran: 'not-run',
  retryAfterMilliseconds: 1000,
};

const missingIdempotencyKeyFailure: RequestFailure = {
  code: 'idempotency-key-missing',
  message: 'this route requires an Idempotency-Key header',
  ran: 'not-run',
};

/**
 * Reports a cancellation that the caller did not cause as `silent`, because it
 * comes from the expired deadline.
 */
function asDeadlineError(
  error: UpstreamError,
  caller: AbortSignal | undefined,
): UpstreamError {
  return error.kind === 'cancelled' && caller?.aborted !== true
    ? {kind: 'silent', upstream: error.upstream}
    : error;
}

/** Yields the chunks of `body` and calls `finish` when the reader is done. */
async function* readThenFinish(
  body: ServiceResponse['body'],
  finish: () => void,
): AsyncGenerator<Uint8Array> {
  try {
    yield* body;
  } finally {
    finish();
  }
}

/** Returns the failure with the less certain execution state. */
function lessCertainOf(
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
  headers: ServiceResponse['headers'],
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

function replayedResponseOf(outcome: ClaimOutcome): ServiceResponse {
  return {
    status: outcome.status,
    headers: {
      ...(outcome.contentType && {'content-type': outcome.contentType}),
      'idempotency-replayed': outcome.bodyOmitted ? 'without-body' : 'true',
    },
    body: [outcome.body],
  };
}
