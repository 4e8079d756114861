/**
 * Chooses the witnesses of a claim. The choice is a pure function of the
 * Membership and the key, so hosts with equal lists agree without messages.
 */

import xxhash from 'xxhash-wasm';
import type {Member, MembershipDocument} from '../generated/documents.js';
import type {ClaimKey} from '../generated/messages/persimmonwick/claims.js';
import type {HostId} from '../ids.js';
import {hostId} from '../ids.js';
import {rankByRendezvous} from '../rendezvous.js';
import {defaultClaimRetentionMilliseconds} from './claim-timing.js';

const {h64} = await xxhash();
const defaultMaximumWitnesses = 3;

export type MembershipSpec = MembershipDocument['spec'];

/** The fields of a key that identify a claim: all except the fingerprint. */
export type ClaimId = Pick<ClaimKey, 'account' | 'route' | 'idempotencyKey'>;

/** Witnesses of one key; a claim needs a majority of each set. */
export type WitnessSets = readonly (readonly HostId[])[];

/** Member lists from which witnesses are chosen. */
export interface MembershipView {
  /**
   * Digest of the member lists and the maximum number of witnesses. Hosts with
   * equal digests choose the same witnesses for every key.
   */
  readonly digest: bigint;
  /** The members and, during a membership change, the previous members. */
  readonly lists: readonly (readonly Member[])[];
  /** Maximum number of witnesses of a key; a short member list gives fewer. */
  readonly maximumWitnesses: number;
  readonly retentionMilliseconds: number;
}

/** Returns an unambiguous string for a claim id. */
export function serializeClaimId(id: ClaimId): string {
  return JSON.stringify([id.account, id.route, id.idempotencyKey]);
}

/** Builds the view of the member lists in `spec`. */
export function buildMembershipView(spec: MembershipSpec): MembershipView {
  const previous = spec.previousMembers ?? [];
  const lists = previous.length > 0 ? [spec.members, previous] : [spec.members];
  const maximumWitnesses = spec.witnesses ?? defaultMaximumWitnesses;
  const canonical = lists.map(list =>
    list.map(member => [member.host, member.failureDomain]).sort(),
  );
  return {
    digest: h64(JSON.stringify([maximumWitnesses, canonical])),
    lists,
    maximumWitnesses,
    retentionMilliseconds:
      spec.claimRetentionMilliseconds ?? defaultClaimRetentionMilliseconds,
  };
}

/** Chooses the witnesses of `id`: one set for each member list. */
export function chooseWitnesses(
  view: MembershipView,
  id: ClaimId,
): WitnessSets {
  const serializedId = serializeClaimId(id);
  return view.lists.map(list =>
    chooseFromList(list, serializedId, view.maximumWitnesses),
  );
}

/** Returns the distinct hosts of all sets. */
export function witnessHosts(sets: WitnessSets): HostId[] {
  return [...new Set(sets.flat())];
}

/** Returns the smallest majority of `size` witnesses; any two majorities overlap. */
export function majoritySize(size: number): number {
  return Math.floor(size / 2) + 1;
}

/**
 * Chooses an odd number of members in descending rank, each from a failure domain
 * with the fewest members chosen. A domain supplies a second member only when
 * every other domain has supplied one.
 */
function chooseFromList(
  list: readonly Member[],
  serializedId: string,
  maximumWitnesses: number,
): HostId[] {
  const remaining = rankByRendezvous(serializedId, list, member => member.host);
  const largestOddSize = list.length % 2 === 1 ? list.length : list.length - 1;
  const count = Math.min(maximumWitnesses, Math.max(1, largestOddSize));
  const chosenByDomain = new Map<string, number>();
  const chosen: HostId[] = [];
  while (chosen.length < count && remaining.length > 0) {
    const countChosenInDomain = (member: Member) =>
      chosenByDomain.get(member.failureDomain) ?? 0;
    const fewest = Math.min(...remaining.map(countChosenInDomain));
    const index = remaining.findIndex(
      member => countChosenInDomain(member) === fewest,
    );
    const [member] = remaining.splice(index, 1);
    chosenByDomain.set(member!.failureDomain, countChosenInDomain(member!) + 1);
    chosen.push(hostId(member!.host));
  }
  return chosen;
}

/** Provides the current view; rebuilds it when the Membership changes. */
export class MembershipViewCache {
  private spec: MembershipSpec | undefined;
  private view: MembershipView | undefined;

  constructor(private readonly membership: () => MembershipSpec | undefined) {}

  /** Returns undefined while no Membership is configured. */
  current(): MembershipView | undefined {
    const spec = this.membership();
    if (spec !== this.spec) {
      this.spec = spec;
      this.view = spec === undefined ? undefined : buildMembershipView(spec);
    }
    return this.view;
  }
}
