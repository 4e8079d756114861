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
const membershipPollMilliseconds = 100;

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

  constructor(private readonly parts: WitnessRecoveryParts) {
    setMaxListeners(0, this.closing.signal);
  }

  /** Ends when every other member was read, at the retention time or on close. */
  async run(): Promise<void> {
    const {clock, directory} = this.parts;
    const {signal} = this.closing;
    await clock.sleep(witnessAbstentionMilliseconds, signal);
    while (directory.current() === undefined && !signal.aborted)
      await clock.sleep(membershipPollMilliseconds, signal);
    const hosts = new Set(
      directory.current()?.lists.flatMap(list => list.map(each => each.host)),
    );
    hosts.delete(this.parts.self.host);
    await Promise.all([...hosts].map(host => this.follow(hostId(host))));
  }

  close(): void {
    this.closing.abort();
  }

  /** Reads one member again and again until it was complete when read. */
  private async follow(host: HostId): Promise<void> {
    const {clock, random, participation} = this.parts;
    const {signal} = this.closing;
    for (let attempt = 0; !signal.aborted; attempt += 1) {
      if (participation.isComplete) return;
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
    const value: ClaimRequest = {
      key: undefined,
      owner: undefined,
      action: {$case: 'list', value: {afterSequence}},
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
