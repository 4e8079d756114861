/**
 * Which members witness a claim: a pure function of the Membership and the
 * key, so that hosts with the same lists agree without a message.
 */

import xxhash from 'xxhash-wasm';
import type {Member, MembershipDocument} from '../generated/documents.js';
import type {ClaimKey} from '../generated/messages/persimmonwick/claims.js';
import type {HostId} from '../ids.js';
import {hostId} from '../ids.js';
import {rankByRendezvous} from '../rendezvous.js';
import {defaultClaimRetentionMilliseconds} from './claim-timing.js';

const {h64} = await xxhash();
const defaultWitnessCount = 3;

export type MembershipSpec = MembershipDocument['spec'];

/** The part of a claim's key that names it. */
export type ClaimName = Pick<ClaimKey, 'account' | 'route' | 'idempotencyKey'>;

/** Witnesses of one key: a majority of each set is needed. */
export type WitnessSets = readonly (readonly HostId[])[];

/** Member lists from which witnesses are chosen. */
export interface MembershipView {
  /** Equal on two hosts exactly when they choose the same witnesses. */
  readonly digest: bigint;
  /** The members, and the previous members while a change is under way. */
  readonly lists: readonly (readonly Member[])[];
  readonly witnessCount: number;
  readonly retentionMilliseconds: number;
}

/** Unambiguous text of a claim's name. */
export function claimNameText(name: ClaimName): string {
  return JSON.stringify([name.account, name.route, name.idempotencyKey]);
}

/** The view of the member lists that `spec` gives. */
export function buildMembershipView(spec: MembershipSpec): MembershipView {
  const previous = spec.previousMembers ?? [];
  const lists = previous.length > 0 ? [spec.members, previous] : [spec.members];
  const witnessCount = spec.witnesses ?? defaultWitnessCount;
  const canonical = lists.map(list =>
    list.map(member => [member.host, member.failureDomain]).sort(),
  );
  return {
    digest: h64(JSON.stringify([witnessCount, canonical])),
    lists,
    witnessCount,
    retentionMilliseconds:
      spec.claimRetentionMilliseconds ?? defaultClaimRetentionMilliseconds,
  };
}

/** The witnesses of `name`: one set for each member list. */
export function chooseWitnesses(
  view: MembershipView,
  name: ClaimName,
): WitnessSets {
  const text = claimNameText(name);
  return view.lists.map(list => chooseFromList(list, text, view.witnessCount));
}

/** Every host of the sets once. */
export function witnessHosts(sets: WitnessSets): HostId[] {
  return [...new Set(sets.flat())];
}

/** Votes of a set of `size` witnesses that meet every other majority. */
export function majoritySize(size: number): number {
  return Math.floor(size / 2) + 1;
}

/**
 * Takes members by falling rank from the failure domains that have given the
 * fewest, so that no domain gives two while another has given none.
 */
function chooseFromList(
  list: readonly Member[],
  text: string,
  wanted: number,
): HostId[] {
  const remaining = rankByRendezvous(text, list, member => member.host);
  const available = list.length % 2 === 1 ? list.length : list.length - 1;
  const count = Math.min(wanted, Math.max(1, available));
  const taken = new Map<string, number>();
  const chosen: HostId[] = [];
  while (chosen.length < count && remaining.length > 0) {
    const takenOf = (member: Member) => taken.get(member.failureDomain) ?? 0;
    const fewest = Math.min(...remaining.map(takenOf));
    const index = remaining.findIndex(member => takenOf(member) === fewest);
    const [member] = remaining.splice(index, 1);
    taken.set(member!.failureDomain, takenOf(member!) + 1);
    chosen.push(hostId(member!.host));
  }
  return chosen;
}

/** The current view, worked out once for each Membership. */
export class WitnessDirectory {
  private spec: MembershipSpec | undefined;
  private view: MembershipView | undefined;

  constructor(private readonly membership: () => MembershipSpec | undefined) {}

  /** Undefined while no Membership is known. */
  current(): MembershipView | undefined {
    const spec = this.membership();
    if (spec !== this.spec) {
      this.spec = spec;
      this.view = spec === undefined ? undefined : buildMembershipView(spec);
    }
    return this.view;
  }
}
