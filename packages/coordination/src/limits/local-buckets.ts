/** Token buckets of one host and the handler for requests of borrowers. */

import xxhash from 'xxhash-wasm';
import type {Clock} from '../clock.js';
import type {Configuration} from '../configuration/configuration.js';
import type {ClientAccountDocument} from '../generated/documents.js';
import type {
  GrantRequest,
  GrantReturn,
  LimitReply,
  LimitRequest,
} from '../generated/messages/persimmonwick/limits.js';
import type {AccountId, HostId, Incarnation} from '../ids.js';
import {accountId} from '../ids.js';
import type {PeerHandler} from '../peers/transport.js';
import {
  idleTimeoutMilliseconds,
  maximumLifetimeMilliseconds,
  maximumOutstandingGrantMilliseconds,
} from './constants.js';
import {ShareEpochs} from './share-epochs.js';
import {TokenBucket} from './token-bucket.js';
import type {InitialBucketState} from './token-bucket.js';

/** Dependencies and settings of the buckets of one host. */
export interface LocalBucketsParts {
  readonly clock: Clock;
  readonly self: HostId;
  readonly incarnation: Incarnation;
  readonly configuration: () => Configuration;
  readonly holdersPerDomain: number;
}

const {h64} = await xxhash();

interface HeldBucket {
  readonly bucket: TokenBucket;
  lastUsedAt: number;
}

/** Reply that grants and credits nothing. */
export const nothingGranted: LimitReply = {
  tokens: 0,
  grantId: '',
  levelTokens: 0,
  lifetimeMilliseconds: 0,
};

/** Holds this host's shares of all client accounts. */
export class LocalBuckets implements PeerHandler<LimitRequest, LimitReply> {
  private readonly buckets = new Map<AccountId, HeldBucket>();
  private readonly epochs: ShareEpochs;
  private readonly startedAt: number;
  private appliedConfiguration: Configuration | undefined;
  private grantCount = 0;
  /** Distinguishes grants of this incarnation from those of earlier ones. */
  private readonly grantIdPrefix: string;

  constructor(private readonly parts: LocalBucketsParts) {
    this.epochs = new ShareEpochs(parts.self, parts.holdersPerDomain);
    this.startedAt = parts.clock.now();
    this.grantIdPrefix = shortDigest(parts.incarnation);
  }

  /**
   * Earliest time at which buckets refill. Before it, grants of this host's
   * previous incarnation may be in use.
   */
  get refillStartsAt(): number {
    return this.startedAt + maximumOutstandingGrantMilliseconds;
  }

  /** Number of buckets in memory. */
  get size(): number {
    return this.buckets.size;
  }

  /**
   * Returns the bucket of `account`, created if it is not in memory, and marks
   * it as used. Returns undefined for an unknown account.
   */
  getOrCreateBucket(account: AccountId): TokenBucket | undefined {
    this.applyConfiguration();
    const now = this.parts.clock.now();
    const held = this.buckets.get(account);
    if (held !== undefined) {
      held.lastUsedAt = now;
      return held.bucket;
    }
    const document = this.appliedConfiguration?.accounts.get(account);
    if (document === undefined) return undefined;
    return this.createBucket(
      document,
      this.epochs.unusedBucketState(document, now),
    );
  }

  handle(request: LimitRequest): LimitReply {
    const {action} = request;
    if (action === undefined) return nothingGranted;
    switch (action.$case) {
      case 'grant':
        return this.grant(action.value);
      case 'return':
        return this.creditReturn(action.value);
    }
  }

  /** Applies the active configuration to all buckets. */
  applyConfiguration(): void {
    const next = this.parts.configuration();
    const previous = this.appliedConfiguration;
    if (next === previous || next.version === 0n) return;
    this.appliedConfiguration = next;
    const now = this.parts.clock.now();
    if (previous !== undefined) this.applyAccountChanges(previous, next, now);
    if (previous?.membership === next.membership && previous !== undefined)
      return;
    this.epochs.add(next.membership, Math.max(now, this.refillStartsAt));
    for (const [account, held] of this.buckets) {
      const document = next.accounts.get(account);
      if (document === undefined) continue;
      held.bucket.reconfigure(this.epochs.currentShare(document), now);
    }
  }

  /** Drops idle buckets that are full, since recreating them adds no tokens. */
  dropIdleBuckets(): void {
    const now = this.parts.clock.now();
    for (const [account, {bucket, lastUsedAt}] of this.buckets)
      if (now - lastUsedAt >= idleTimeoutMilliseconds && bucket.isFull(now))
        this.buckets.delete(account);
  }

  private applyAccountChanges(
    previous: Configuration,
    next: Configuration,
    now: number,
  ): void {
    for (const account of previous.accounts.keys())
      if (!next.accounts.has(account)) this.buckets.delete(account);
    for (const [account, document] of next.accounts) {
      const before = previous.accounts.get(account);
      if (before === document) continue;
      if (before === undefined) this.createBucketOfAddedAccount(document, now);
      else this.reconfigureChangedBucket(account, before, document, now);
    }
  }

  /**
   * Starts empty, since the account may have been withdrawn and added again.
   */
  private createBucketOfAddedAccount(
    document: ClientAccountDocument,
    now: number,
  ): void {
    const refillStartsAt = now + maximumOutstandingGrantMilliseconds;
    this.createBucket(document, {levelTokens: 0, refillStartsAt});
  }

  private reconfigureChangedBucket(
    account: AccountId,
    before: ClientAccountDocument,
    after: ClientAccountDocument,
    now: number,
  ): void {
    const bucket =
      this.buckets.get(account)?.bucket ??
      this.createBucket(before, this.epochs.unusedBucketState(before, now));
    bucket.reconfigure(this.epochs.currentShare(after), now);
  }

  private createBucket(
    document: ClientAccountDocument,
    initialState: InitialBucketState,
  ): TokenBucket {
    const bucket = new TokenBucket(
      this.epochs.currentShare(document),
      initialState,
    );
    const lastUsedAt = this.parts.clock.now();
    this.buckets.set(accountId(document.name), {bucket, lastUsedAt});
    return bucket;
  }

  private grant(request: GrantRequest): LimitReply {
    if (!isValidGrantRequest(request)) return nothingGranted;
    const bucket = this.getOrCreateBucket(accountId(request.account));
    if (bucket === undefined) return nothingGranted;
    const now = this.parts.clock.now();
    this.grantCount += 1;
    const grantId = `${this.grantIdPrefix}/${this.grantCount.toString(36)}`;
    const grant = bucket.grant({...request, id: grantId}, now);
    return {...grant, grantId, levelTokens: bucket.available(now)};
  }

  private creditReturn(request: GrantReturn): LimitReply {
    if (!isFiniteNonNegative(request.tokens)) return nothingGranted;
    this.applyConfiguration();
    const held = this.buckets.get(accountId(request.account));
    if (held === undefined) return nothingGranted;
    const {bucket} = held;
    const now = this.parts.clock.now();
    const {grantId, returnNumber} = request;
    const tokens = bucket.creditReturn(
      grantId,
      returnNumber,
      request.tokens,
      now,
    );
    const levelTokens = bucket.available(now);
    return {...nothingGranted, tokens, levelTokens};
  }
}

function shortDigest(text: string): string {
  return h64(text).toString(36);
}

function isValidGrantRequest(request: GrantRequest): boolean {
  const {lifetimeMilliseconds, spareLifetimeMilliseconds} = request;
  return (
    isFiniteNonNegative(request.tokens) &&
    isFiniteNonNegative(request.spareTokens) &&
    isFiniteNonNegative(lifetimeMilliseconds) &&
    isFiniteNonNegative(spareLifetimeMilliseconds) &&
    lifetimeMilliseconds <= maximumLifetimeMilliseconds &&
    spareLifetimeMilliseconds <= maximumLifetimeMilliseconds
  );
}

/** Also returns false for values that are not numbers. */
function isFiniteNonNegative(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}
