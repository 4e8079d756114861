/** Simulated hosts with claims on an in-memory network in virtual time. */

import type {Result} from 'true-myth';
import type {
  ClaimDecision,
  ClaimKey,
  ClaimOutcome,
  ClaimRefusal,
  MembershipSpec,
  RandomSource,
} from '../../src/index.js';
import {
  Claims,
  hostId,
  incarnation,
  InMemoryNetwork,
  seededRandom,
  buildMembershipView,
  VirtualClock,
  WitnessParticipation,
} from '../../src/index.js';
import {SimulatedHost} from './simulated-host.js';

export interface FleetHost {
  readonly machine: SimulatedHost;
  readonly claims: Claims;
}

/** Makes a witness vote on every key right after a restart, which is unsafe. */
export class NonAbstainingParticipation extends WitnessParticipation {
  override get hasCountableOldGrants(): boolean {
    return false;
  }

  override canVote(): boolean {
    return true;
  }
}

/** Creates members `h0`, `h1`, ... and assigns failure domains round-robin. */
export function createMembers(
  count: number,
  domainCount: number,
  firstIndex = 0,
) {
  const members = Array.from({length: count}, (_, index) => ({
    host: `h${index + firstIndex}`,
    failureDomain: `d${index % domainCount}`,
    address: `127.0.0.1:${7000 + index + firstIndex}`,
  }));
  return members as unknown as MembershipSpec['members'];
}

export function claimKey(name: string, fingerprint = 'f'): ClaimKey {
  return {account: 'a', route: 'r', idempotencyKey: name, fingerprint};
}

export function textOutcome(text: string): ClaimOutcome {
  const body = new TextEncoder().encode(text);
  return {status: 200, contentType: 'text/plain', body, bodyOmitted: false};
}

export class ClaimFleet {
  readonly clock = new VirtualClock();
  readonly network = new InMemoryNetwork(this.clock);
  readonly hosts = new Map<string, FleetHost>();
  readonly memberships = new Map<string, MembershipSpec>();
  readonly random: RandomSource;
  private startCount = 0;

  constructor(
    seed: number,
    private readonly shouldSkipAbstention = false,
  ) {
    this.random = seededRandom(seed);
  }

  /** Starts hosts and waits for the retention time, so that all witnesses vote. */
  async startAll(
    names: readonly string[],
    membership: MembershipSpec,
  ): Promise<void> {
    for (const name of names) {
      this.memberships.set(name, membership);
      this.start(name, false);
    }
    await this.clock.advance(
      buildMembershipView(membership).retentionMilliseconds,
    );
  }

  /** Starts or restarts one host with empty memory. */
  start(name: string, isRecovering = true): FleetHost {
    this.hosts.get(name)?.machine.kill();
    const identity = {
      host: hostId(name),
      incarnation: incarnation(`${name}-${(this.startCount += 1)}`),
    };
    const machine = new SimulatedHost(identity, this.clock, this.network);
    const membership = () => this.memberships.get(name);
    const claims = new Claims({
      clock: machine.clock,
      random: seededRandom(this.startCount),
      self: identity,
      transport: machine.transport,
      membership,
      participation: this.shouldSkipAbstention
        ? new NonAbstainingParticipation(machine.clock, identity.host, () =>
            buildMembershipView(membership()!),
          )
        : undefined,
    });
    machine.listen(async (body, from) => {
      if (body.$case !== 'claim') throw new TypeError(body.$case);
      return {$case: 'claim', value: await claims.handle(body.value, from)};
    });
    if (isRecovering) void claims.recover();
    const host = {machine, claims};
    this.hosts.set(name, host);
    return host;
  }

  begin(name: string, key: ClaimKey, timeoutMilliseconds = 3000) {
    const {claims} = this.hosts.get(name)!;
    const deadline = this.clock.now() + timeoutMilliseconds;
    return claims.begin(key, deadline, new AbortController().signal);
  }

  /** Begins a claim and advances the clock until it resolves. */
  async beginAndAdvance(
    name: string,
    key: ClaimKey,
    timeoutMilliseconds = 3000,
  ) {
    return this.clock.runUntil(this.begin(name, key, timeoutMilliseconds));
  }
}

/** Returns the kind of a claim's decision or refusal. */
export function resultKind(
  result: Result<ClaimDecision, ClaimRefusal>,
): string {
  return result.isOk ? result.value.kind : result.error.kind;
}
