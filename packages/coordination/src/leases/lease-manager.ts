/** Acquires and renews leases from a majority of their witnesses. */

import {Result} from 'true-myth';
import type {
  MembershipView,
  MembershipViewCache,
} from '../claims/witness-placement.js';
import {
  chooseWitnesses,
  witnessHosts,
  majoritySize,
} from '../claims/witness-placement.js';
import type {Clock} from '../clock.js';
import type {
  LeaseReply,
  LeaseRequest,
} from '../generated/messages/persimmonwick/leases.js';
import type {HostId} from '../ids.js';
import type {
  PeerHandler,
  PeerIdentity,
  PeerTransport,
} from '../peers/transport.js';
import {nextFencingToken} from './fencing-token.js';
import {
  leaseDurationMilliseconds,
  leaseValidityMilliseconds,
} from './lease-timing.js';
import {leaseWitnessKey} from './lease-witness.js';

const leaseExchangeTimeoutMilliseconds = 1000;
const maximumAcquireRounds = 3;
const defaultRetryMilliseconds = 1000;

/** A lease that this host holds until `validUntil`. */
export interface Lease {
  readonly resource: string;
  readonly fencingToken: bigint;
  /** Time on this host's clock at which the lease was acquired. */
  readonly acquiredAt: number;
  /** Time on this host's clock after which the lease must not be used. */
  readonly validUntil: number;
}

/** Reason why no lease was granted. */
export type LeaseRefusal =
  | {readonly kind: 'no-membership'}
  /** Another host holds the lease, or no majority of witnesses granted it. */
  | {readonly kind: 'not-granted'; readonly retryAfterMilliseconds: number};

export interface LeaseManagerParts {
  readonly clock: Clock;
  readonly self: PeerIdentity;
  readonly transport: PeerTransport;
  readonly membershipViews: MembershipViewCache;
  readonly witness: PeerHandler<LeaseRequest, LeaseReply>;
}

interface RoundResult {
  readonly isGranted: boolean;
  readonly highestToken: bigint;
  readonly retryAfterMilliseconds: number;
}

export class LeaseManager {
  /** Highest known fencing token of each resource. */
  private readonly highestTokens = new Map<string, bigint>();

  constructor(private readonly parts: LeaseManagerParts) {}

  /** Records a fencing token in use; the next lease gets a higher one. */
  recordFencingToken(resource: string, fencingToken: bigint): void {
    if (fencingToken > (this.highestTokens.get(resource) ?? 0n))
      this.highestTokens.set(resource, fencingToken);
  }

  /**
   * Acquires the lease under a new fencing token, which replaces an earlier
   * lease of this host at the witnesses.
   */
  async acquire(resource: string): Promise<Result<Lease, LeaseRefusal>> {
    const {clock, membershipViews, self} = this.parts;
    let retryMilliseconds = defaultRetryMilliseconds;
    for (let round = 0; round < maximumAcquireRounds; round += 1) {
      const view = membershipViews.current();
      if (view === undefined) return Result.err({kind: 'no-membership'});
      const startedAt = clock.now();
      const highestToken = this.highestTokens.get(resource) ?? 0n;
      const fencingToken = nextFencingToken(
        highestToken,
        clock.wallNow(),
        view,
        self,
      );
      const result = await this.requestGrants(view, resource, fencingToken);
      this.recordFencingToken(resource, result.highestToken);
      if (result.isGranted)
        return Result.ok(
          createLease(resource, fencingToken, clock.now(), startedAt),
        );
      // Frees the witnesses that granted the lease.
      await this.release(resource, fencingToken);
      retryMilliseconds = result.retryAfterMilliseconds;
      // Another round helps only if a witness reported a higher token.
      if (result.highestToken <= fencingToken) break;
    }
    return Result.err({
      kind: 'not-granted',
      retryAfterMilliseconds: Math.max(1, retryMilliseconds),
    });
  }

  /**
   * Extends `lease` under the same fencing token. On failure the lease keeps
   * its previous `validUntil`.
   */
  async renew(lease: Lease): Promise<Result<Lease, LeaseRefusal>> {
    const {clock, membershipViews} = this.parts;
    const view = membershipViews.current();
    if (view === undefined) return Result.err({kind: 'no-membership'});
    const startedAt = clock.now();
    const {resource, fencingToken} = lease;
    const result = await this.requestGrants(view, resource, fencingToken);
    // Another host may have held the lease after it expired.
    if (!result.isGranted || !this.isValid(lease))
      return Result.err({
        kind: 'not-granted',
        retryAfterMilliseconds: defaultRetryMilliseconds,
      });
    return Result.ok({
      ...lease,
      validUntil: startedAt + leaseValidityMilliseconds,
    });
  }

  /** Must be true immediately before each order, with no await in between. */
  isValid(lease: Lease): boolean {
    return this.parts.clock.now() < lease.validUntil;
  }

  /** Releases the resource before the lease expires. */
  async release(resource: string, fencingToken: bigint): Promise<void> {
    const view = this.parts.membershipViews.current();
    if (view === undefined) return;
    const request = this.createRequest(view, resource, fencingToken);
    const hosts = witnessHosts(
      chooseWitnesses(view, leaseWitnessKey(resource)),
    );
    await Promise.all(
      hosts.map(host => this.exchange(host, {...request, release: true})),
    );
  }

  private async requestGrants(
    view: MembershipView,
    resource: string,
    fencingToken: bigint,
  ): Promise<RoundResult> {
    const request = this.createRequest(view, resource, fencingToken);
    const witnessSets = chooseWitnesses(view, leaseWitnessKey(resource));
    const replies = new Map<HostId, LeaseReply>();
    const exchanges = witnessHosts(witnessSets).map(async host => {
      const reply = await this.exchange(host, request);
      if (reply !== undefined) replies.set(host, reply);
    });
    await Promise.all(exchanges);
    const isGranted = witnessSets.every(witnessSet => {
      const grantingHosts = witnessSet.filter(
        host => replies.get(host)?.granted === true,
      );
      return grantingHosts.length >= majoritySize(witnessSet.length);
    });
    const receivedReplies = [...replies.values()];
    return {
      isGranted,
      highestToken: receivedReplies.reduce(
        (highestToken, {highestFencingNumber: token}) =>
          token > highestToken ? token : highestToken,
        0n,
      ),
      retryAfterMilliseconds: Math.max(
        0,
        ...receivedReplies.map(reply => reply.retryAfterMilliseconds),
      ),
    };
  }

  private async exchange(
    host: HostId,
    value: LeaseRequest,
  ): Promise<LeaseReply | undefined> {
    const {self, transport, witness} = this.parts;
    if (host === self.host) return witness.handle(value, self);
    const reply = await transport.exchange(
      host,
      {$case: 'lease', value},
      leaseExchangeTimeoutMilliseconds,
    );
    return reply.isOk && reply.value.$case === 'lease'
      ? reply.value.value
      : undefined;
  }

  private createRequest(
    view: MembershipView,
    resource: string,
    proposedFencingNumber: bigint,
  ): LeaseRequest {
    const {self} = this.parts;
    return {
      resource,
      holderHost: self.host,
      holderIncarnation: self.incarnation,
      durationMilliseconds: leaseDurationMilliseconds,
      proposedFencingNumber,
      release: false,
      listsDigest: view.digest,
    };
  }
}

function createLease(
  resource: string,
  fencingToken: bigint,
  acquiredAt: number,
  startedAt: number,
): Lease {
  const validUntil = startedAt + leaseValidityMilliseconds;
  return {resource, fencingToken, acquiredAt, validUntil};
}
