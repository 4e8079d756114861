/**
 * Requests tokens from the holders of an account, and sends unused ones back.
 */

import type {Clock} from '../clock.js';
import type {
  LimitReply,
  LimitRequest,
} from '../generated/messages/persimmonwick/limits.js';
import type {HostId} from '../ids.js';
import type {PeerTransport} from '../peers/transport.js';
import type {AccountState} from './account-state.js';
import {
  planGrantRequests,
  roundingError,
  totalMaximumTokens,
} from './grant-request-plan.js';
import type {PlannedGrantRequest} from './grant-request-plan.js';
import {readClocks} from './borrowed-tokens.js';
import type {BorrowedGrant, ClockReading} from './borrowed-tokens.js';
import {
  collectTimeoutMilliseconds,
  exchangeTimeoutMilliseconds,
  grantLifetimeMilliseconds,
  spareLifetimeMilliseconds,
} from './constants.js';
import type {HolderEstimate} from './holder-estimate.js';
import type {WritableLimiterCounters} from './limiter-counters.js';
import {PeerSuspicion} from './peer-suspicion.js';

const maximumRounds = 5;

/** Collects grants for one host. */
export class GrantCollector {
  private readonly pendingReturns = new Set<Promise<void>>();
  private readonly suspicion: PeerSuspicion;

  constructor(
    private readonly clock: Clock,
    private readonly transport: PeerTransport,
    private readonly counters: WritableLimiterCounters,
  ) {
    this.suspicion = new PeerSuspicion(clock, host => this.probe(host));
  }

  /**
   * Borrows up to `tokens` in several rounds. Stops when the holders cannot
   * provide `usefulTokens`, the smallest amount that admits a request, or, once
   * these are collected, the rest. Also stops at the deadline and after
   * `maximumRounds`. `spareTokens` are requested in addition in the first
   * round, in equal parts; the parts of holders in other failure domains are
   * dropped.
   */
  async collect(
    state: AccountState,
    tokens: number,
    usefulTokens: number,
    spareTokens: number,
  ): Promise<void> {
    const deadline = this.clock.now() + collectTimeoutMilliseconds;
    let collectedTokens = 0;
    for (let round = 0; round < maximumRounds; round += 1) {
      const now = this.clock.now();
      const missingTokens = tokens - collectedTokens;
      // A remainder due to rounding is not worth another round.
      if (now >= deadline || missingTokens <= tokens * roundingError) return;
      const holders = this.responsiveHolders(state);
      const targetTokens =
        collectedTokens < usefulTokens ? usefulTokens : tokens;
      const possibleTokens = collectedTokens + totalMaximumTokens(holders, now);
      if (possibleTokens < targetTokens * (1 - roundingError)) return;
      const requests = planGrantRequests(holders, missingTokens, now);
      if (requests.length === 0) return;
      const spareTokensPerHolder =
        round === 0 ? spareTokens / requests.length : 0;
      const grantedTokens = await Promise.all(
        requests.map(request =>
          this.requestGrant(
            state,
            request,
            request.holder.isInOwnDomain ? spareTokensPerHolder : 0,
          ),
        ),
      );
      collectedTokens += grantedTokens.reduce(
        (sum, granted) => sum + granted,
        0,
      );
    }
  }

  /**
   * Sends tokens of a grant back to its holder. If the message is lost, only
   * these tokens are lost.
   */
  returnTokens(
    state: AccountState,
    grant: BorrowedGrant,
    tokens: number,
  ): void {
    if (tokens <= 0) return;
    const pendingReturn = this.sendReturn(state, grant, tokens).then(() => {
      this.pendingReturns.delete(pendingReturn);
    });
    this.pendingReturns.add(pendingReturn);
  }

  /** Waits until each pending return has a reply or has timed out. */
  async waitForReturns(): Promise<void> {
    await Promise.all(this.pendingReturns);
  }

  private async sendReturn(
    state: AccountState,
    grant: BorrowedGrant,
    tokens: number,
  ): Promise<void> {
    grant.returnCount += 1;
    const reply = await this.exchange(grant.holderHost, {
      $case: 'return',
      value: {
        account: state.account,
        tokens,
        grantId: grant.id,
        returnNumber: grant.returnCount,
      },
    });
    if (reply === undefined) return;
    state
      .holderAt(grant.holderHost)
      ?.recordLevel(reply.levelTokens, this.clock.now());
  }

  private responsiveHolders(state: AccountState): HolderEstimate[] {
    return state.otherHolders.filter(
      ({host}) => !this.suspicion.isSuspected(host),
    );
  }

  private async probe(host: HostId): Promise<boolean> {
    const emptyRequest = {
      tokens: 0,
      spareTokens: 0,
      account: '',
      ...grantLifetimes,
    };
    const reply = await this.exchange(host, {
      $case: 'grant',
      value: emptyRequest,
    });
    return reply !== undefined;
  }

  /** Requests a grant and returns its number of tokens, spare ones excluded. */
  private async requestGrant(
    state: AccountState,
    {holder, tokens}: PlannedGrantRequest,
    spareTokens: number,
  ): Promise<number> {
    const requestedAt = readClocks(this.clock);
    const {account, generation} = state;
    const reply = await this.exchange(holder.host, {
      $case: 'grant',
      value: {account, tokens, spareTokens, ...grantLifetimes},
    });
    if (reply === undefined) {
      this.suspicion.suspect(holder.host);
      return 0;
    }
    holder.recordLevel(reply.levelTokens, this.clock.now());
    if (!(reply.tokens > 0 && reply.tokens <= tokens + spareTokens)) return 0;
    const grant = toBorrowedGrant(holder.host, reply, requestedAt);
    if (state.generation !== generation) {
      this.returnTokens(state, grant, grant.tokens);
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
    const result = await this.transport.exchange(
      host,
      {$case: 'limit', value: {action}},
      exchangeTimeoutMilliseconds,
    );
    if (result.isOk && result.value.$case === 'limit')
      return result.value.value;
    this.counters.failedExchanges += 1;
    return undefined;
  }
}

const grantLifetimes = {
  lifetimeMilliseconds: grantLifetimeMilliseconds,
  spareLifetimeMilliseconds,
};

function toBorrowedGrant(
  holderHost: HostId,
  reply: LimitReply,
  requestedAt: ClockReading,
): BorrowedGrant {
  const lifetime = Math.min(
    reply.lifetimeMilliseconds,
    spareLifetimeMilliseconds,
  );
  return {
    holderHost,
    id: reply.grantId,
    expiresAt: requestedAt.now + lifetime,
    wallExpiresAt: requestedAt.wallNow + lifetime,
    tokens: reply.tokens,
    returnCount: 0,
  };
}
