/** The buckets that this host holds, and the handler for those who ask. */

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
  idleMilliseconds,
  maximumHoldingMilliseconds,
  maximumLifetimeMilliseconds,
} from './constants.js';
import {ShareEpochs} from './share-epochs.js';
import {TokenBucket} from './token-bucket.js';
import type {InitialBucketState} from './token-bucket.js';

/** What a holder is made of. */
export interface BucketHolderParts {
  readonly clock: Clock;
  readonly self: HostId;
  readonly incarnation: Incarnation;
  readonly configuration: () => Configuration;
  readonly holdersPerDomain: number;
}

const {h64} = await xxhash();

interface HeldBucket {
  readonly bucket: TokenBucket;
  usedAt: number;
}

/** The reply of a holder that has nothing for the asker. */
export const nothingGranted: LimitReply = {
  tokens: 0,
  grantId: '',
  levelTokens: 0,
  lifetimeMilliseconds: 0,
};

/** Holds this host's shares of all client accounts. */
export class BucketHolder implements PeerHandler<LimitRequest, LimitReply> {
  private readonly buckets = new Map<AccountId, HeldBucket>();
  private readonly epochs: ShareEpochs;
  private readonly startedAt: number;
  private seen: Configuration | undefined;
  private grantCount = 0;
  /** Tells grants of one start of this host from those of another. */
  private readonly idPrefix: string;

  constructor(private readonly parts: BucketHolderParts) {
    this.epochs = new ShareEpochs(parts.self, parts.holdersPerDomain);
    this.startedAt = parts.clock.now();
    this.idPrefix = shortDigest(parts.incarnation);
  }

  /** Before this, grants of this host's former incarnation may be in use. */
  get fillsFrom(): number {
    return this.startedAt + maximumHoldingMilliseconds;
  }

  /** Number of buckets in memory. */
  get size(): number {
    return this.buckets.size;
  }

  /** This host's bucket of `account`; absent for an unknown account. */
  bucketOf(account: AccountId): TokenBucket | undefined {
    this.applyConfiguration();
    const now = this.parts.clock.now();
    const held = this.buckets.get(account);
    if (held !== undefined) {
      held.usedAt = now;
      return held.bucket;
    }
    const document = this.seen?.accounts.get(account);
    if (document === undefined) return undefined;
    return this.hold(document, this.epochs.untouchedStart(document, now));
  }

  handle(request: LimitRequest): LimitReply {
    const {action} = request;
    if (action === undefined) return nothingGranted;
    switch (action.$case) {
      case 'grant':
        return this.grant(action.value);
      case 'return':
        return this.takeBack(action.value);
    }
  }

  /** Brings all buckets under the configuration in force. */
  applyConfiguration(): void {
    const next = this.parts.configuration();
    const previous = this.seen;
    if (next === previous || next.version === 0n) return;
    this.seen = next;
    const now = this.parts.clock.now();
    if (previous !== undefined) this.applyAccountChanges(previous, next, now);
    if (previous?.membership === next.membership && previous !== undefined)
      return;
    this.epochs.add(next.membership, Math.max(now, this.fillsFrom));
    for (const [account, held] of this.buckets) {
      const document = next.accounts.get(account);
      if (document === undefined) continue;
      held.bucket.reconfigure(this.epochs.currentShare(document), now);
    }
  }

  /** Releases the memory of buckets whose loss creates no token. */
  releaseIdle(): void {
    const now = this.parts.clock.now();
    for (const [account, {bucket, usedAt}] of this.buckets)
      if (now - usedAt >= idleMilliseconds && bucket.isFull(now))
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
      if (before === undefined) this.holdAdded(document, now);
      else this.holdChanged(account, before, document, now);
    }
  }

  /** An account may have been withdrawn and added again: it starts empty. */
  private holdAdded(document: ClientAccountDocument, now: number): void {
    const refillsFrom = now + maximumHoldingMilliseconds;
    this.hold(document, {levelTokens: 0, refillStartsAt: refillsFrom});
  }

  private holdChanged(
    account: AccountId,
    before: ClientAccountDocument,
    after: ClientAccountDocument,
    now: number,
  ): void {
    const bucket =
      this.buckets.get(account)?.bucket ??
      this.hold(before, this.epochs.untouchedStart(before, now));
    bucket.reconfigure(this.epochs.currentShare(after), now);
  }

  private hold(
    document: ClientAccountDocument,
    start: InitialBucketState,
  ): TokenBucket {
    const bucket = new TokenBucket(this.epochs.currentShare(document), start);
    const usedAt = this.parts.clock.now();
    this.buckets.set(accountId(document.name), {bucket, usedAt});
    return bucket;
  }

  private grant(request: GrantRequest): LimitReply {
    if (!isGrantRequest(request)) return nothingGranted;
    const bucket = this.bucketOf(accountId(request.account));
    if (bucket === undefined) return nothingGranted;
    const now = this.parts.clock.now();
    this.grantCount += 1;
    const grantId = `${this.idPrefix}/${this.grantCount.toString(36)}`;
    const grant = bucket.grant({...request, id: grantId}, now);
    return {...grant, grantId, levelTokens: bucket.available(now)};
  }

  private takeBack(request: GrantReturn): LimitReply {
    if (!isAmount(request.tokens)) return nothingGranted;
    this.applyConfiguration();
    const held = this.buckets.get(accountId(request.account));
    if (held === undefined) return nothingGranted;
    const {bucket} = held;
    const now = this.parts.clock.now();
    const {grantId, returnNumber} = request;
    const tokens = bucket.takeBack(grantId, returnNumber, request.tokens, now);
    const levelTokens = bucket.available(now);
    return {...nothingGranted, tokens, levelTokens};
  }
}

function shortDigest(text: string): string {
  return h64(text).toString(36);
}

function isGrantRequest(request: GrantRequest): boolean {
  const {lifetimeMilliseconds, spareLifetimeMilliseconds} = request;
  return (
    isAmount(request.tokens) &&
    isAmount(request.spareTokens) &&
    isAmount(lifetimeMilliseconds) &&
    isAmount(spareLifetimeMilliseconds) &&
    lifetimeMilliseconds <= maximumLifetimeMilliseconds &&
    spareLifetimeMilliseconds <= maximumLifetimeMilliseconds
  );
}

/** Also false for what is not a number. */
function isAmount(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}
