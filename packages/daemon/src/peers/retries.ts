/** Retries of idempotent requests between hosts, under a budget. */

import {PeerRefusal_Code} from '@persimmonwick/coordination';
import type {
  Clock,
  PeerError,
  PeerRequestBody,
  PeerTransport,
  RandomSource,
} from '@persimmonwick/coordination';

/** What retries are made with. */
export interface RetryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly budget: RetryBudget;
  /** Areas whose requests may be repeated without harm. */
  readonly areas?: ReadonlySet<PeerRequestBody['$case']>;
  readonly maximumAttempts?: number;
}

const idempotentAreas: ReadonlySet<PeerRequestBody['$case']> = new Set([
  'fleet',
  'configuration',
  'ownership',
] as const);
const defaultMaximumAttempts = 3;
const firstBackoffMilliseconds = 20;

/** Bounds retries to a share of the first attempts. */
export class RetryBudget {
  private tokens: number;

  constructor(
    private readonly retriesPerAttempt = 0.1,
    private readonly maximumTokens = 10,
  ) {
    this.tokens = maximumTokens;
  }

  /** Each first attempt earns a share of a retry. */
  deposit(): void {
    this.tokens = Math.min(
      this.maximumTokens,
      this.tokens + this.retriesPerAttempt,
    );
  }

  /** Takes one retry; false when none is left. */
  withdraw(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}

/**
 * A transport that tries requests of idempotent areas again, within the
 * caller's timeout, after a random pause that doubles in the mean.
 */
export function withRetries(
  transport: PeerTransport,
  options: RetryOptions,
): PeerTransport {
  const {clock, random, budget, areas = idempotentAreas} = options;
  const {maximumAttempts = defaultMaximumAttempts} = options;
  return {
    async exchange(host, body, timeoutMilliseconds) {
      if (!areas.has(body.$case))
        return transport.exchange(host, body, timeoutMilliseconds);
      const deadline = clock.now() + timeoutMilliseconds;
      budget.deposit();
      let backoffMilliseconds = firstBackoffMilliseconds;
      let answer = await transport.exchange(host, body, timeoutMilliseconds);
      for (let attempt = 1; attempt < maximumAttempts; attempt += 1) {
        if (answer.isOk || !isPassing(answer.error)) return answer;
        const pause = backoffMilliseconds * (0.5 + random.next());
        if (clock.now() + pause >= deadline || !budget.withdraw())
          return answer;
        await clock.sleep(pause);
        backoffMilliseconds *= 2;
        const left = deadline - clock.now();
        answer = await transport.exchange(host, body, left);
      }
      return answer;
    },
  };
}

function isPassing(error: PeerError): boolean {
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
