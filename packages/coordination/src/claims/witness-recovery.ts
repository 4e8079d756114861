/**
 * Recovers a restarted witness: waits until no grant of its previous incarnation
 * can still be counted, then reads the claims of its co-witnesses.
 */

import {setMaxListeners} from 'node:events';
import type {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {
  ClaimPage,
  ClaimRequest,
} from '../generated/messages/persimmonwick/claims.js';
import type {HostId} from '../ids.js';
import {hostId} from '../ids.js';
import type {
  PeerError,
  PeerIdentity,
  PeerReplyBody,
  PeerTransport,
} from '../peers/transport.js';
import type {RandomSource} from '../random.js';
import {
  retryDelayMilliseconds,
  oldGrantLifetimeMilliseconds,
} from './claim-timing.js';
import type {ClaimWitness} from './claim-witness.js';
import type {
  CoWitnessState,
  WitnessParticipation,
} from './witness-participation.js';
import type {MembershipViewCache} from './witness-placement.js';

const listTimeoutMilliseconds = 2000;
const membershipPollMilliseconds = 1000;

export interface WitnessRecoveryParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: PeerIdentity;
  readonly transport: PeerTransport;
  readonly membershipViews: MembershipViewCache;
  readonly participation: WitnessParticipation;
  readonly witness: ClaimWitness;
}

export class WitnessRecovery {
  private readonly closing = new AbortController();
  private readonly startedMembers = new Set<string>();

  constructor(private readonly parts: WitnessRecoveryParts) {
    setMaxListeners(0, this.closing.signal);
  }

  /**
   * Reads the claims of all members. Resolves on `close`, or once a Membership is
   * known and the retention time has passed since the start.
   */
  async run(): Promise<void> {
    const {clock, membershipViews, participation} = this.parts;
    const {signal} = this.closing;
    await clock.sleep(oldGrantLifetimeMilliseconds, signal);
    while (!signal.aborted) {
      const view = membershipViews.current();
      if (
        view !== undefined &&
        participation.remainingRetentionMilliseconds === 0
      )
        return;
      for (const {host} of view?.lists.flat() ?? []) this.startReading(host);
      await clock.sleep(membershipPollMilliseconds, signal);
    }
  }

  close(): void {
    this.closing.abort();
  }

  /** Starts to read a member unless its reads have already started. */
  private startReading(host: string): void {
    if (host === this.parts.self.host || this.startedMembers.has(host)) return;
    this.startedMembers.add(host);
    void this.readUntilComplete(hostId(host));
  }

  /** Reads one member repeatedly until it is complete at the time of a read. */
  private async readUntilComplete(host: HostId): Promise<void> {
    const {clock, random, participation} = this.parts;
    const {signal} = this.closing;
    for (let retryCount = 0; !signal.aborted; retryCount += 1) {
      if (participation.remainingRetentionMilliseconds === 0) return;
      const coWitness = await this.readAllPages(host);
      if (coWitness !== undefined && !signal.aborted) {
        participation.recordRead(host, coWitness);
        if (coWitness.isComplete) return;
      }
      await clock.sleep(retryDelayMilliseconds(random, retryCount), signal);
    }
  }

  /** Merges all claim pages of `host`; undefined when a page could not be read. */
  private async readAllPages(
    host: HostId,
  ): Promise<CoWitnessState | undefined> {
    let coWitness: CoWitnessState | undefined;
    let afterSequence = 0n;
    do {
      const page = await this.readPage(host, afterSequence);
      if (page === undefined || this.closing.signal.aborted) return undefined;
      for (const {key, owners, outcome} of page.claims)
        if (key !== undefined)
          this.parts.witness.mergeClaim(key, {owners, outcome});
      // The state in the first page covers every claim stored before the read. A
      // state reported later can depend on owners that were added to claims of
      // pages already read.
      coWitness ??= {
        isComplete: page.complete,
        readMembers: new Set(page.readMembers.map(hostId)),
      };
      afterSequence = page.nextSequence;
    } while (afterSequence !== 0n);
    return coWitness;
  }

  private async readPage(
    host: HostId,
    afterSequence: bigint,
  ): Promise<ClaimPage | undefined> {
    const listsDigest = this.parts.membershipViews.current()?.digest ?? 0n;
    const value: ClaimRequest = {
      key: undefined,
      owner: undefined,
      action: {$case: 'list', value: {afterSequence, listsDigest}},
    };
    return pageOf(
      await this.parts.transport.exchange(
        host,
        {$case: 'claim', value},
        listTimeoutMilliseconds,
      ),
    );
  }
}

function pageOf(
  reply: Result<PeerReplyBody, PeerError>,
): ClaimPage | undefined {
  if (reply.isErr || reply.value.$case !== 'claim') return undefined;
  const {result} = reply.value.value;
  return result?.$case === 'page' ? result.value : undefined;
}
