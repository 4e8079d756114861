/** Asks the holders of an account for tokens, and gives grants back. */

import type {Clock} from '../clock.js';
import type {LimitRequest} from '../generated/messages/persimmonwick/limits.js';
import type {AccountId, HostId} from '../ids.js';
import type {PeerTransport} from '../peers/transport.js';
import type {AccountState} from './account-state.js';
import {planAsks, potentialOf, roundingError} from './ask-plan.js';
import type {PlannedAsk} from './ask-plan.js';
import type {BorrowedGrant} from './borrowed-tokens.js';
import {
  collectTimeoutMilliseconds,
  exchangeTimeoutMilliseconds,
  grantLifetimeMilliseconds,
  suspectMilliseconds,
} from './constants.js';
import type {KnownHolder} from './known-holder.js';

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
   * Collects at most `tokens`, as long as `usefulTokens` may come together, the
   * smallest sum that helps. `spareTokens` are asked of the own failure domain
   * only.
   */
  async collect(
    state: AccountState,
    tokens: number,
    usefulTokens: number,
    spareTokens: number,
  ): Promise<void> {
    const deadline = this.clock.now() + collectTimeoutMilliseconds;
    let collected = 0;
    for (let round = 0; round < maximumRounds; round += 1) {
      const now = this.clock.now();
      const missing = tokens - collected;
      // What rounding leaves over is not worth another round.
      if (now >= deadline || missing <= tokens * roundingError) return;
      const holders = this.answeringHolders(state, now);
      const wanted = collected < usefulTokens ? usefulTokens : tokens;
      const possible = collected + potentialOf(holders, now);
      if (possible < wanted * (1 - roundingError)) return;
      const asks = planAsks(holders, missing, now);
      if (asks.length === 0) return;
      const spare = round === 0 ? spareTokens / asks.length : 0;
      const given = await Promise.all(
        asks.map(ask => this.ask(state, ask, ask.holder.isNear ? spare : 0)),
      );
      collected += given.reduce((sum, one) => sum + one, 0);
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

  private answeringHolders(state: AccountState, now: number): KnownHolder[] {
    return state.holders.filter(
      ({host}) => (this.suspects.get(host) ?? -Infinity) <= now,
    );
  }

  /** Tokens of the part that the holder granted, without spare ones. */
  private async ask(
    state: AccountState,
    {holder, tokens}: PlannedAsk,
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
    holder.learn(reply.levelTokens, now);
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
