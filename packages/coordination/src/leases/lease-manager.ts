/** Acquires and renews leases at a majority of their witnesses. */

import {Result} from 'true-myth';
import type {
  MembershipView,
  WitnessDirectory,
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
import {nextFencingNumber} from './fencing-number.js';
import {
  leaseDurationMilliseconds,
  leaseUseMilliseconds,
} from './lease-timing.js';
import {leaseName} from './lease-witness.js';

const exchangeTimeoutMilliseconds = 1000;
const roundsPerCall = 3;
const retryAfterMilliseconds = 1000;

/** A lease that this host holds, as long as `validUntil` has not passed. */
export interface Lease {
  readonly resource: string;
  readonly fencingToken: bigint;
  /** Time of the own clock at which the lease was acquired. */
  readonly acquiredAt: number;
  /** Time of the own clock after which the lease may not be used. */
  readonly validUntil: number;
}

/** Why there is no lease. */
export type LeaseRefusal =
  | {readonly kind: 'no-membership'}
  /** Another host holds it, or a majority could not be had. */
  | {readonly kind: 'not-granted'; readonly retryAfterMilliseconds: number};

export interface LeaseManagerParts {
  readonly clock: Clock;
  readonly self: PeerIdentity;
  readonly transport: PeerTransport;
  readonly directory: WitnessDirectory;
  readonly witness: PeerHandler<LeaseRequest, LeaseReply>;
}

interface Round {
  readonly isGranted: boolean;
  readonly highest: bigint;
  readonly retryAfterMilliseconds: number;
}

export class LeaseManager {
  /** Highest number known for each resource. */
  private readonly highest = new Map<string, bigint>();

  constructor(private readonly parts: LeaseManagerParts) {}

  /** Notes a number that an upstream has obeyed. */
  recordFencingToken(resource: string, fencingToken: bigint): void {
    if (fencingToken > (this.highest.get(resource) ?? 0n))
      this.highest.set(resource, fencingToken);
  }

  /** Acquires the lease under a new number; gives up an earlier lease on it. */
  async acquire(resource: string): Promise<Result<Lease, LeaseRefusal>> {
    const {clock, directory, self} = this.parts;
    let retryAfter = retryAfterMilliseconds;
    for (let round = 0; round < roundsPerCall; round += 1) {
      const view = directory.current();
      if (view === undefined) return Result.err({kind: 'no-membership'});
      const startedAt = clock.now();
      const highest = this.highest.get(resource) ?? 0n;
      const number = nextFencingNumber(highest, clock.wallNow(), view, self);
      const result = await this.ask(view, resource, number);
      this.recordFencingToken(resource, result.highest);
      if (result.isGranted)
        return Result.ok(leaseOf(resource, number, clock.now(), startedAt));
      await this.release(resource, number);
      retryAfter = result.retryAfterMilliseconds;
      if (result.highest <= number) break;
    }
    return Result.err({
      kind: 'not-granted',
      retryAfterMilliseconds: Math.max(1, retryAfter),
    });
  }

  /** Extends `lease` under its number; what was held stays valid on failure. */
  async renew(lease: Lease): Promise<Result<Lease, LeaseRefusal>> {
    const {clock, directory} = this.parts;
    const view = directory.current();
    if (view === undefined) return Result.err({kind: 'no-membership'});
    const startedAt = clock.now();
    const {resource, fencingToken} = lease;
    const result = await this.ask(view, resource, fencingToken);
    // A lease that ran out may have had another holder since.
    if (!result.isGranted || !this.isValid(lease))
      return Result.err({kind: 'not-granted', retryAfterMilliseconds});
    return Result.ok({...lease, validUntil: startedAt + leaseUseMilliseconds});
  }

  /** Must hold right before each order, with no await between. */
  isValid(lease: Lease): boolean {
    return this.parts.clock.now() < lease.validUntil;
  }

  /** Frees the resource for others before the lease has run out. */
  async release(resource: string, fencingToken: bigint): Promise<void> {
    const view = this.parts.directory.current();
    if (view === undefined) return;
    const request = this.requestOf(view, resource, fencingToken);
    const hosts = witnessHosts(chooseWitnesses(view, leaseName(resource)));
    await Promise.all(
      hosts.map(host => this.exchange(host, {...request, release: true})),
    );
  }

  private async ask(
    view: MembershipView,
    resource: string,
    fencingToken: bigint,
  ): Promise<Round> {
    const request = this.requestOf(view, resource, fencingToken);
    const sets = chooseWitnesses(view, leaseName(resource));
    const replies = new Map<HostId, LeaseReply>();
    const asks = witnessHosts(sets).map(async host => {
      const reply = await this.exchange(host, request);
      if (reply !== undefined) replies.set(host, reply);
    });
    await Promise.all(asks);
    const isGranted = sets.every(set => {
      const granted = set.filter(host => replies.get(host)?.granted === true);
      return granted.length >= majoritySize(set.length);
    });
    const all = [...replies.values()];
    return {
      isGranted,
      highest: all.reduce(
        (highest, {highestFencingNumber: number}) =>
          number > highest ? number : highest,
        0n,
      ),
      retryAfterMilliseconds: Math.max(
        0,
        ...all.map(reply => reply.retryAfterMilliseconds),
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
      exchangeTimeoutMilliseconds,
    );
    return reply.isOk && reply.value.$case === 'lease'
      ? reply.value.value
      : undefined;
  }

  private requestOf(
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

function leaseOf(
  resource: string,
  fencingToken: bigint,
  acquiredAt: number,
  startedAt: number,
): Lease {
  const validUntil = startedAt + leaseUseMilliseconds;
  return {resource, fencingToken, acquiredAt, validUntil};
}
