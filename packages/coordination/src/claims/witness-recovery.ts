/**
 * Brings a restarted witness back: it waits until no grant of its previous
 * start can still be counted, then reads the claims of its co-witnesses.
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
import {retryDelay, witnessAbstentionMilliseconds} from './claim-timing.js';
import type {ClaimWitness} from './claim-witness.js';
import type {CoWitness, WitnessParticipation} from './witness-participation.js';
import type {WitnessDirectory} from './witness-placement.js';

const listTimeoutMilliseconds = 2000;
const membershipPollMilliseconds = 1000;

export interface WitnessRecoveryParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: PeerIdentity;
  readonly transport: PeerTransport;
  readonly directory: WitnessDirectory;
  readonly participation: WitnessParticipation;
  readonly witness: ClaimWitness;
}

export class WitnessRecovery {
  private readonly closing = new AbortController();
  private readonly followed = new Set<string>();

  constructor(private readonly parts: WitnessRecoveryParts) {
    setMaxListeners(0, this.closing.signal);
  }

  /** Ends at the retention time, when the witness needs no others, or on close. */
  async run(): Promise<void> {
    const {clock, directory, participation} = this.parts;
    const {signal} = this.closing;
    await clock.sleep(witnessAbstentionMilliseconds, signal);
    while (!signal.aborted) {
      const view = directory.current();
      if (view !== undefined && participation.remainingMilliseconds === 0)
        return;
      for (const {host} of view?.lists.flat() ?? []) this.followOnce(host);
      await clock.sleep(membershipPollMilliseconds, signal);
    }
  }

  close(): void {
    this.closing.abort();
  }

  /** Starts to read a member that has come into the lists. */
  private followOnce(host: string): void {
    if (host === this.parts.self.host || this.followed.has(host)) return;
    this.followed.add(host);
    void this.follow(hostId(host));
  }

  /** Reads one member again and again until it was complete when read. */
  private async follow(host: HostId): Promise<void> {
    const {clock, random, participation} = this.parts;
    const {signal} = this.closing;
    for (let attempt = 0; !signal.aborted; attempt += 1) {
      if (participation.remainingMilliseconds === 0) return;
      const coWitness = await this.read(host);
      if (coWitness !== undefined && !signal.aborted) {
        participation.noteRead(host, coWitness);
        if (coWitness.isComplete) return;
      }
      await clock.sleep(retryDelay(random, attempt), signal);
    }
  }

  /** Adopts every page of `host`; undefined when one could not be had. */
  private async read(host: HostId): Promise<CoWitness | undefined> {
    let coWitness: CoWitness | undefined;
    let afterSequence = 0n;
    do {
      const page = await this.readPage(host, afterSequence);
      if (page === undefined || this.closing.signal.aborted) return undefined;
      for (const {key, owners, outcome} of page.claims)
        if (key !== undefined) this.parts.witness.adopt(key, {owners, outcome});
      // What the first page says holds for claims that were there before it.
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
    const listsDigest = this.parts.directory.current()?.digest ?? 0n;
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
