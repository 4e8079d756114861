/** Retries idempotent requests between hosts within a retry budget. */

import {PeerRefusal_Code} from '@persimmonwick/coordination';
import type {
  Clock,
  PeerError,
  PeerRequestBody,
  PeerTransport,
  RandomSource,
} from '@persimmonwick/coordination';

export interface RetryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly budget: RetryBudget;
  /** Kinds of requests that are safe to repeat. */
  readonly idempotentKinds?: ReadonlySet<PeerRequestBody['$case']>;
  readonly maximumAttempts?: number;
}

const defaultIdempotentKinds: ReadonlySet<PeerRequestBody['$case']> = new Set([
  'fleet',
  'configuration',
  'ownership',
] as const);
const defaultMaximumAttempts = 3;
const initialBackoffMilliseconds = 20;

/**
 * Token bucket that allows `retriesPerAttempt` retries per first attempt on
 * average, and up to `maximumTokens` in a burst.
 */
export class RetryBudget {
  private tokens: number;

  constructor(
    private readonly retriesPerAttempt = 0.1,
    private readonly maximumTokens = 10,
  ) {
    this.tokens = maximumTokens;
  }

  /** Adds the tokens that one first attempt earns. */
  deposit(): void {
    this.tokens = Math.min(
      this.maximumTokens,
      this.tokens + this.retriesPerAttempt,
    );
  }

  /** Takes the token of one retry. Returns false if the budget is used up. */
  tryWithdraw(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}

/**
 * Wraps `transport` with retries of idempotent requests, within the timeout of
 * the request. The backoff is exponential with jitter.
 */
export function withRetries(
  transport: PeerTransport,
  options: RetryOptions,
): PeerTransport {
  const {
    clock,
    random,
    budget,
    idempotentKinds = defaultIdempotentKinds,
  } = options;
  const {maximumAttempts = defaultMaximumAttempts} = options;
  return {
    async exchange(host, body, timeoutMilliseconds) {
      if (!idempotentKinds.has(body.$case))
        return transport.exchange(host, body, timeoutMilliseconds);
      const deadline = clock.now() + timeoutMilliseconds;
      budget.deposit();
      let backoffMilliseconds = initialBackoffMilliseconds;
      let reply = await transport.exchange(host, body, timeoutMilliseconds);
      for (let attempt = 1; attempt < maximumAttempts; attempt += 1) {
        if (reply.isOk || !isTransient(reply.error)) return reply;
        const delayMilliseconds = backoffMilliseconds * (0.5 + random.next());
        if (
          clock.now() + delayMilliseconds >= deadline ||
          !budget.tryWithdraw()
        )
          return reply;
        await clock.sleep(delayMilliseconds);
        backoffMilliseconds *= 2;
        const remainingMilliseconds = deadline - clock.now();
        reply = await transport.exchange(host, body, remainingMilliseconds);
      }
      return reply;
    },
  };
}

function isTransient(error: PeerError): boolean {
  switch (error.kind) {
    case 'unreachable':
    case 'timeout':
      return true;
    case 'refused':
      return error.code === PeerRefusal_Code.CODE_OVERLOADED;
    case 'malformed':
      return false;
  }
}
