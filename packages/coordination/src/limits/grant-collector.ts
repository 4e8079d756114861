/** Asks the holders of an account for tokens, and gives grants back. */

import type {Clock} from '../clock.js';
import type {
  LimitReply,
  LimitRequest,
} from '../generated/messages/persimmonwick/limits.js';
import type {HostId} from '../ids.js';
import type {PeerTransport} from '../peers/transport.js';
import type {AccountState} from './account-state.js';
import {planAsks, potentialOf, roundingError} from './ask-plan.js';
import type {PlannedAsk} from './ask-plan.js';
import {readInstant} from './borrowed-tokens.js';
import type {BorrowedGrant, Instant} from './borrowed-tokens.js';
import {
  collectTimeoutMilliseconds,
  exchangeTimeoutMilliseconds,
  grantLifetimeMilliseconds,
  spareLifetimeMilliseconds,
} from './constants.js';
import type {KnownHolder} from './known-holder.js';
import type {WritableLimiterCounters} from './limiter-counters.js';
import {PeerSuspicion} from './peer-suspicion.js';

const maximumRounds = 5;

/** Collects grants for one host. */
export class GrantCollector {
  private readonly returns = new Set<Promise<void>>();
  private readonly suspicion: PeerSuspicion;

  constructor(
    private readonly clock: Clock,
    private readonly transport: PeerTransport,
    private readonly counters: WritableLimiterCounters,
  ) {
    this.suspicion = new PeerSuspicion(clock, host => this.probe(host));
  }

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
      const holders = this.answeringHolders(state);
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
  giveBack(state: AccountState, grant: BorrowedGrant, tokens: number): void {
    if (tokens <= 0) return;
    const sent = this.sendReturn(state, grant, tokens).then(() => {
      this.returns.delete(sent);
    });
    this.returns.add(sent);
  }

  /** Waits until every return was answered or timed out. */
  async drain(): Promise<void> {
    await Promise.all(this.returns);
  }

  private async sendReturn(
    state: AccountState,
    grant: BorrowedGrant,
    tokens: number,
  ): Promise<void> {
    grant.returnCount += 1;
    const reply = await this.exchange(grant.holder, {
      $case: 'return',
      value: {
        account: state.account,
        tokens,
        grantId: grant.id,
        returnNumber: grant.returnCount,
      },
    });
    if (reply === undefined) return;
    state.holderAt(grant.holder)?.learn(reply.levelTokens, this.clock.now());
  }

  private answeringHolders(state: AccountState): KnownHolder[] {
    return state.holders.filter(({host}) => !this.suspicion.isSuspected(host));
  }

  private async probe(host: HostId): Promise<boolean> {
    const nothing = {tokens: 0, spareTokens: 0, account: '', ...lifetimes};
    const reply = await this.exchange(host, {$case: 'grant', value: nothing});
    return reply !== undefined;
  }

  /** Tokens of the part that the holder granted, without spare ones. */
  private async ask(
    state: AccountState,
    {holder, tokens}: PlannedAsk,
    spareTokens: number,
  ): Promise<number> {
    const asked = readInstant(this.clock);
    const {account, generation} = state;
    const reply = await this.exchange(holder.host, {
      $case: 'grant',
      value: {account, tokens, spareTokens, ...lifetimes},
    });
    if (reply === undefined) {
      this.suspicion.suspect(holder.host);
      return 0;
    }
    holder.learn(reply.levelTokens, this.clock.now());
    if (!(reply.tokens > 0 && reply.tokens <= tokens + spareTokens)) return 0;
    const grant = borrowedGrant(holder.host, reply, asked);
    if (state.generation !== generation) {
      this.giveBack(state, grant, grant.tokens);
      return 0;
    }
    state.borrowed.add(grant);
    return Math.min(tokens, reply.tokens);
  }

  private async exchange(
    host: HostId,
    action: NonNullable<LimitRequest['action']>,
  ): Promise<LimitReply | undefined> {
    this.counters.exchanges += 1;
    const answer = await this.transport.exchange(
      host,
      {$case: 'limit', value: {action}},
      exchangeTimeoutMilliseconds,
    );
    if (answer.isOk && answer.value.$case === 'limit')
      return answer.value.value;
    this.counters.failedExchanges += 1;
    return undefined;
  }
}

const lifetimes = {
  lifetimeMilliseconds: grantLifetimeMilliseconds,
  spareLifetimeMilliseconds,
};

function borrowedGrant(
  holder: HostId,
  reply: LimitReply,
  asked: Instant,
): BorrowedGrant {
  const lifetime = Math.min(
    reply.lifetimeMilliseconds,
    spareLifetimeMilliseconds,
  );
  return {
    holder,
    id: reply.grantId,
    expiresAt: asked.now + lifetime,
    wallExpiresAt: asked.wallNow + lifetime,
    tokens: reply.tokens,
    returnCount: 0,
  };
}
