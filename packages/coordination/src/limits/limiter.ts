/**
 * Admits requests of client accounts within their rate and burst over all
 * hosts. Each host holds fixed shares and lends them to the others by grants
 * that expire; no host needs to know which others are alive.
 */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {Configuration} from '../configuration/configuration.js';
import type {
  LimitReply,
  LimitRequest,
} from '../generated/messages/persimmonwick/limits.js';
import type {AccountId, FailureDomainId, HostId, Incarnation} from '../ids.js';
import type {PeerHandler, PeerTransport} from '../peers/transport.js';
import {AccountGate} from './account-gate.js';
import type {AccountGateParts} from './account-gate.js';
import {AccountState} from './account-state.js';
import {InvalidTokensError, refusal} from './admission.js';
import type {Admission, RateRefusal} from './admission.js';
import {BucketHolder, nothingGranted} from './bucket-holder.js';
import {
  defaultHoldersPerDomain,
  idleMilliseconds,
  upkeepMilliseconds,
} from './constants.js';
import {GrantCollector} from './grant-collector.js';
import {newLimiterCounters} from './limiter-counters.js';
import type {LimiterCounters} from './limiter-counters.js';
import {holderShares} from './shares.js';

/** What a limiter is made of. */
export interface LimiterParts {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly self: HostId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomainId;
  /** The configuration in force now. */
  readonly configuration: () => Configuration;
  /** The same at all hosts; changed only while none is running. */
  readonly holdersPerDomain?: number;
}

/** The limiter of one host: holder, borrower and gate. */
export class Limiter implements PeerHandler<LimitRequest, LimitReply> {
  private readonly counted = newLimiterCounters();
  private readonly holder: BucketHolder;
  private readonly collector: GrantCollector;
  private readonly gateParts: AccountGateParts;
  private readonly holdersPerDomain: number;
  private readonly gates = new Map<AccountId, AccountGate>();
  private readonly ended = new AbortController();
  private seen: Configuration | undefined;

  constructor(private readonly parts: LimiterParts) {
    const {clock, transport} = parts;
    this.holdersPerDomain = parts.holdersPerDomain ?? defaultHoldersPerDomain;
    this.holder = new BucketHolder({
      ...parts,
      holdersPerDomain: this.holdersPerDomain,
    });
    this.collector = new GrantCollector(clock, transport, this.counted);
    this.gateParts = {
      clock,
      holder: this.holder,
      collector: this.collector,
      documentOf: state => this.documentOf(state.account),
      ended: this.ended.signal,
      counters: this.counted,
    };
    void this.keepUp();
  }

  /** What was counted since the start. */
  get counters(): LimiterCounters {
    return this.counted;
  }

  /** Accounts that occupy memory: as borrower and as holder. */
  get accountsInMemory(): {readonly borrowed: number; readonly held: number} {
    return {borrowed: this.gates.size, held: this.holder.size};
  }

  /**
   * Brings the limiter under the configuration in force. It does so on its own
   * within seconds; whoever knows of a new version may call it at once. What
   * was lent under a former account or membership goes back.
   */
  applyConfiguration(): void {
    const next = this.parts.configuration();
    const previous = this.seen;
    if (next === previous) return;
    this.seen = next;
    this.holder.applyConfiguration();
    for (const [account, gate] of this.gates) {
      const isSame =
        previous?.membership === next.membership &&
        previous?.accounts.get(account) === next.accounts.get(account);
      if (isSame) continue;
      gate.giveBackAll();
      this.setShares(gate.state);
    }
  }

  /** Time on the own clock from which the own buckets fill. */
  get refillStartsAt(): number {
    return this.holder.fillsFrom;
  }

  /** Answers another host that asks for tokens or gives them back. */
  handle(request: LimitRequest): LimitReply {
    if (this.ended.signal.aborted) return nothingGranted;
    return this.holder.handle(request);
  }

  /** Charges `tokens` to `account`, or refuses without charging anything. */
  admit(
    account: AccountId,
    tokens: number,
    signal?: AbortSignal,
  ): Promise<Result<Admission, RateRefusal>> {
    if (!(Number.isFinite(tokens) && tokens >= 0))
      return Promise.reject(new InvalidTokensError(tokens));
    if (this.ended.signal.aborted) return this.refuse('closed');
    if (signal?.aborted) return this.refuse('cancelled');
    const document = this.documentOf(account);
    if (document === undefined) return this.refuse('unknown-account');
    if (tokens > document.spec.burstTokens)
      return this.refuse('larger-than-burst');
    return this.gateOf(account).admit(tokens, signal);
  }

  /** Refuses all that waits, gives back all grants and ends. */
  async close(): Promise<void> {
    if (this.ended.signal.aborted) return;
    this.ended.abort();
    await Promise.all([...this.gates.values()].map(gate => gate.close()));
    await this.collector.drain();
    this.gates.clear();
  }

  private documentOf(account: AccountId) {
    this.applyConfiguration();
    return this.seen?.accounts.get(account);
  }

  private gateOf(account: AccountId): AccountGate {
    const known = this.gates.get(account);
    if (known !== undefined) return known;
    const gate = new AccountGate(new AccountState(account), this.gateParts);
    this.setShares(gate.state);
    this.gates.set(account, gate);
    return gate;
  }

  private setShares(state: AccountState): void {
    const {self, failureDomain} = this.parts;
    const shares = holderShares(
      this.seen?.membership,
      state.account,
      this.holdersPerDomain,
    );
    const spec = this.seen?.accounts.get(state.account)?.spec;
    state.setShares(shares, self, failureDomain, {
      tokensPerSecond: spec?.rateTokensPerSecond ?? 0,
      burstTokens: spec?.burstTokens ?? 0,
    });
  }

  /** Applies changes that no request brought up, and releases memory. */
  private async keepUp(): Promise<void> {
    const {signal} = this.ended;
    while (!signal.aborted) {
      this.applyConfiguration();
      this.holder.releaseIdle();
      const now = this.parts.clock.now();
      for (const [account, gate] of this.gates)
        if (gate.isIdle && now - gate.state.usedAt >= idleMilliseconds)
          this.gates.delete(account);
      await this.parts.clock.sleep(upkeepMilliseconds, signal);
    }
  }

  private refuse(
    reason: RateRefusal['reason'],
  ): Promise<Result<Admission, RateRefusal>> {
    this.counted.refused[reason] += 1;
    return Promise.resolve(Result.err(refusal(reason)));
  }
}
