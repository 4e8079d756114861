/** Asks the holders of an account for tokens, and gives grants back. */

import type {Clock} from '../clock.js';
import type {LimitRequest} from '../generated/messages/persimmonwick/limits.js';
import type {AccountId, HostId} from '../ids.js';
import type {PeerTransport} from '../peers/transport.js';
import type {AccountState, KnownHolder} from './account-state.js';
import type {BorrowedGrant} from './borrowed-tokens.js';
import {
  collectTimeoutMilliseconds,
  exchangeTimeoutMilliseconds,
  exhaustedMilliseconds,
  grantLifetimeMilliseconds,
  suspectMilliseconds,
} from './constants.js';

const maximumRounds = 5;

/** Collects grants for one host. */
export class GrantCollector {
  private readonly returns = new Set<Promise<void>>();
  /** Holders that gave no answer, with the time until they are left alone. */
  private readonly suspects = new Map<HostId, number>();

  constructor(
    private readonly clock: Clock,
    private readonly transport: PeerTransport,
  ) {}

  /**
   * Collects at most `tokens`, first from holders of the own failure domain and
   * then from the others, each asked for an even part of what is missing.
   * `spareTokens` are asked of the own failure domain only.
   */
  async collect(
    state: AccountState,
    tokens: number,
    spareTokens: number,
  ): Promise<void> {
    const deadline = this.clock.now() + collectTimeoutMilliseconds;
    let missing = tokens;
    let spare = spareTokens;
    for (let round = 0; round < maximumRounds && missing > 0; round += 1) {
      const now = this.clock.now();
      if (now >= deadline) return;
      const asked = this.chooseHolders(state, now);
      if (asked.length === 0) return;
      const part = missing / asked.length;
      const sparePart = asked[0]!.isNear ? spare / asked.length : 0;
      const given = await Promise.all(
        asked.map(holder => this.ask(state, holder, part, sparePart)),
      );
      missing -= given.reduce((sum, one) => sum + one, 0);
      // What rounding leaves over is not worth another round.
      if (missing < tokens * Number.EPSILON * 64) return;
      spare = 0;
    }
  }

  /** Gives back a part of a grant; a lost message only loses the tokens. */
  giveBack(account: AccountId, grant: BorrowedGrant, tokens: number): void {
    if (tokens <= 0) return;
    grant.returnCount += 1;
    const action: LimitRequest['action'] = {
      $case: 'return',
      value: {
        account,
        tokens,
        grantId: grant.id,
        returnNumber: grant.returnCount,
      },
    };
    const sent = this.transport
      .exchange(
        grant.holder,
        {$case: 'limit', value: {action}},
        exchangeTimeoutMilliseconds,
      )
      .then(() => {
        this.returns.delete(sent);
      });
    this.returns.add(sent);
  }

  /** Waits until every return was answered or timed out. */
  async drain(): Promise<void> {
    await Promise.all(this.returns);
  }

  private chooseHolders(state: AccountState, now: number): KnownHolder[] {
    const able = state.holders.filter(
      holder =>
        holder.notAskedBefore <= now &&
        (this.suspects.get(holder.host) ?? -Infinity) <= now,
    );
    const near = able.filter(holder => holder.isNear);
    return near.length > 0 ? near : able;
  }

  /** Tokens of the part that the holder granted, without spare ones. */
  private async ask(
    state: AccountState,
    holder: KnownHolder,
    tokens: number,
    spareTokens: number,
  ): Promise<number> {
    const askedAt = this.clock.now();
    const wallAskedAt = this.clock.wallNow();
    const lifetimeMilliseconds = grantLifetimeMilliseconds;
    const {account, generation} = state;
    const action: LimitRequest['action'] = {
      $case: 'grant',
      value: {account, tokens, spareTokens, lifetimeMilliseconds},
    };
    const answer = await this.transport.exchange(
      holder.host,
      {$case: 'limit', value: {action}},
      exchangeTimeoutMilliseconds,
    );
    const now = this.clock.now();
    if (answer.isErr || answer.value.$case !== 'limit') {
      this.suspects.set(holder.host, now + suspectMilliseconds);
      return 0;
    }
    this.suspects.delete(holder.host);
    const reply = answer.value.value;
    if (!(reply.tokens >= tokens))
      holder.notAskedBefore = now + exhaustedMilliseconds;
    if (!(reply.tokens > 0 && reply.tokens <= tokens + spareTokens)) return 0;
    const grant: BorrowedGrant = {
      holder: holder.host,
      id: reply.grantId,
      expiresAt: askedAt + lifetimeMilliseconds,
      wallExpiresAt: wallAskedAt + lifetimeMilliseconds,
      tokens: reply.tokens,
      returnCount: 0,
    };
    if (state.generation !== generation) {
      this.giveBack(account, grant, grant.tokens);
      return 0;
    }
    state.borrowed.add(grant);
    return Math.min(tokens, reply.tokens);
  }
}
