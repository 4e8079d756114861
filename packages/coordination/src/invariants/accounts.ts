/** Invariants of keys, client accounts and rate limits. */

import type {AccountId} from '../ids.js';
import type {InvariantBounds, InvariantViolation} from './check-invariants.js';
import {eventsOf} from './run-event.js';
import type {RunEvent, RunEventOf} from './run-event.js';

/** Tolerance for rounding errors in sums of token counts. */
const roundingToleranceTokens = 1e-6;

/**
 * Checks that a request is executed only for the client account of its key,
 * that no upstream receives the key, and that a withdrawn key is rejected in
 * time.
 */
export function findAccountViolations(
  events: readonly RunEvent[],
  bounds: InvariantBounds,
): InvariantViolation[] {
  const accounts = new Map(
    eventsOf(events, 'key-published').map(event => [event.key, event.account]),
  );
  const received = new Map(
    eventsOf(events, 'request-received').map(event => [event.request, event]),
  );
  const withdrawnAt = new Map(
    eventsOf(events, 'key-withdrawn').map(event => [event.key, event.at]),
  );
  const violations: InvariantViolation[] = [];
  for (const event of eventsOf(events, 'upstream-ran')) {
    const reason = explainAccountViolation(event, received.get(event.request), {
      accounts,
      withdrawnAt,
      bounds,
    });
    if (reason !== undefined)
      violations.push({
        condition: 'account-of-key-only',
        at: event.at,
        detail: `${event.request} at ${event.upstream}: ${reason}`,
      });
  }
  return violations;
}

interface KeyHistory {
  readonly accounts: ReadonlyMap<string, AccountId>;
  readonly withdrawnAt: ReadonlyMap<string, number>;
  readonly bounds: InvariantBounds;
}

function explainAccountViolation(
  execution: RunEventOf<'upstream-ran'>,
  received: RunEventOf<'request-received'> | undefined,
  history: KeyHistory,
): string | undefined {
  if (received === undefined) return 'no caller sent this request';
  if (received.isKeyOptional) return undefined;
  const {key} = received;
  if (key === undefined) return 'it was executed without a key';
  if (history.accounts.get(key) !== execution.account)
    return `it was executed for ${execution.account}, not for the account of its key`;
  if (execution.sent.includes(key)) return 'the upstream received the key';
  const withdrawnAt = history.withdrawnAt.get(key) ?? Infinity;
  const limit = withdrawnAt + history.bounds.keyWithdrawalMilliseconds;
  if (received.at > limit) return 'its key had been withdrawn';
  return undefined;
}

/**
 * Checks that an account uses at most rate × window + burst tokens in every
 * time window. This is equivalent to a leaky bucket that drains at the rate and
 * never exceeds the burst, which a single pass can check. If the limit changes
 * during the run, the highest values apply.
 */
export function findRateViolations(
  events: readonly RunEvent[],
): InvariantViolation[] {
  const limits = new Map<AccountId, {rate: number; burst: number}>();
  for (const event of eventsOf(events, 'limit-published')) {
    const known = limits.get(event.account) ?? {rate: 0, burst: 0};
    limits.set(event.account, {
      rate: Math.max(known.rate, event.rateTokensPerSecond),
      burst: Math.max(known.burst, event.burstTokens),
    });
  }
  const buckets = new Map<AccountId, {at: number; tokens: number}>();
  const violations: InvariantViolation[] = [];
  for (const {at, account, tokens} of eventsOf(events, 'tokens-used')) {
    const limit = limits.get(account) ?? {rate: 0, burst: 0};
    const bucket = buckets.get(account) ?? {at, tokens: 0};
    const drained = ((at - bucket.at) / 1000) * limit.rate;
    const level = Math.max(0, bucket.tokens - drained) + tokens;
    buckets.set(account, {at, tokens: level});
    if (level > limit.burst + roundingToleranceTokens)
      violations.push({
        condition: 'rate-and-burst',
        at,
        detail: `${account} exceeds its burst by ${level - limit.burst} tokens`,
      });
  }
  return violations;
}
