/**
 * Runs claims of three hosts under a scheduler that chooses every step, so that
 * all orders of a small case can be enumerated.
 */

import type {
  ClaimDecision,
  ClaimPermit,
  ClaimRefusal,
  HostId,
  MembershipSpec,
  PeerIdentity,
  PeerReplyBody,
  PeerRequestBody,
  PeerTransport,
} from '../../src/index.js';
import type {Claim} from '../../src/claims/claim-table.js';
import {
  ClaimCoordinator,
  ClaimWitness,
  hostId,
  incarnation,
  InMemoryNetwork,
  seededRandom,
  VirtualClock,
  WitnessDirectory,
  WitnessParticipation,
  WitnessRecovery,
} from '../../src/index.js';
import {Result} from 'true-myth';
import {
  claimKey,
  ForgetfulParticipation,
  createMembers,
  textOutcome,
} from './claim-fleet.js';
import {SimulatedHost} from './simulated-host.js';

const membership: MembershipSpec = {
  members: createMembers(3, 3),
  claimRetentionMilliseconds: 600_000,
};
const key = claimKey('k');
/** Longer than the window of an attempt and the abstention of a witness. */
const longMilliseconds = 1100;

export interface SearchCase {
  /** Hosts through which the key is tried. */
  readonly tries: readonly string[];
  readonly crashing: string;
  readonly pausing: string;
  readonly forgetful: boolean;
}

/** Delivers a message, and its reply unless that is lost. */
type Deliver = (isAnswered: boolean) => void;

interface SearchHost {
  readonly machine: SimulatedHost;
  readonly coordinator: ClaimCoordinator;
  readonly witness: ClaimWitness;
  readonly participation: WitnessParticipation;
  readonly startedAt: number;
  /** Replies and orders that the coordinator has had. */
  readonly seen: string[];
}

type Try =
  | {state: 'waiting'}
  | {state: 'begun'}
  | {state: 'permitted'; permit: ClaimPermit}
  | {state: 'written'; permit: ClaimPermit}
  | {state: 'ended'; as: string};

/** One execution, driven step by step. */
export class SearchRun {
  readonly faults: string[] = [];
  private readonly clock = new VirtualClock();
  private readonly network = new InMemoryNetwork(this.clock);
  private readonly hosts = new Map<string, SearchHost>();
  private readonly pending = new Map<string, Deliver>();
  private readonly tries: Try[];
  private readonly used = new Set<string>();
  private runs = 0;
  private starts = 0;

  private constructor(private readonly setting: SearchCase) {
    this.tries = setting.tries.map(() => ({state: 'waiting'}));
  }

  static async create(setting: SearchCase): Promise<SearchRun> {
    const run = new SearchRun(setting);
    for (const name of ['h0', 'h1', 'h2']) run.start(name);
    await run.clock.advance(600_000);
    return run;
  }

  /** Steps that may come next. */
  actions(): string[] {
    const actions = [...this.pending.keys()];
    if (!this.used.has('lose'))
      for (const label of this.pending.keys())
        if (label.startsWith('h0.') && label.includes(' take '))
          actions.push(`lose ${label}`);
    this.tries.forEach((each, index) => {
      if (each.state === 'waiting') actions.push(`begin ${index}`);
      if (each.state === 'permitted') actions.push(`write ${index}`);
      if (each.state === 'written') actions.push(`answer ${index}`);
    });
    if (!this.used.has('crash')) actions.push('crash');
    const isTimely =
      this.used.has('crash') ||
      this.tries.some(({state}) => state === 'permitted');
    if (isTimely && !this.used.has('pause')) actions.push('pause');
    return actions;
  }

  async step(action: string): Promise<void> {
    const [verb, index] = action.split(' ');
    const label = action.replace('lose ', '');
    const deliver = this.pending.get(label);
    if (deliver !== undefined) {
      this.pending.delete(label);
      if (verb === 'lose') this.used.add('lose');
      deliver(verb !== 'lose');
    } else if (verb === 'begin') this.begin(Number(index));
    else if (verb === 'write') this.write(Number(index));
    else if (verb === 'answer') this.answer(Number(index));
    else await this.disturb(action);
    await this.clock.advance(0);
  }

  /** Equal after two executions only when their states are equal. */
  stateKey(): string {
    const now = this.clock.now();
    const {sleepers} = this.clock as unknown as {
      sleepers: readonly {wakesAt: number}[];
    };
    return JSON.stringify([
      [...this.hosts.values()].map(host => this.stateOf(host)),
      this.tries.map(({state}) => state),
      [...this.pending.keys()].map(withoutCount).sort(),
      sleepers.map(({wakesAt}) => wakesAt - now),
      [...this.used].sort(),
    ]);
  }

  /** Votes commute until one decides, and a decision shows in other parts. */
  private stateOf(host: SearchHost) {
    const {machine, witness, participation, seen, startedAt} = host;
    const {table} = witness as unknown as {
      table: {claims: Map<string, Claim>; tombstones: Map<string, number>};
    };
    return [
      [...table.claims.values()].map(({owners, outcome}) => [owners, outcome]),
      [...table.tombstones.keys()].sort(),
      participation.readMembers.sort(),
      participation.isComplete,
      this.clock.now() - startedAt,
      this.isUndecided(machine) ? seen.map(withoutCount).sort() : [],
    ];
  }

  /** Replies no longer matter once every try of the host is decided. */
  private isUndecided(machine: SimulatedHost): boolean {
    return this.setting.tries.some(
      (name, index) =>
        name === machine.identity.host && this.tries[index]!.state === 'begun',
    );
  }

  private start(name: string): void {
    this.hosts.get(name)?.machine.kill();
    const self: PeerIdentity = {
      host: hostId(name),
      incarnation: incarnation(`${(this.starts += 1)}`),
    };
    const machine = new SimulatedHost(self, this.clock, this.network);
    const {clock} = machine;
    const seen: string[] = [];
    const startedAt = this.clock.now();
    const directory = new WitnessDirectory(() => membership);
    const Participation = this.setting.forgetful
      ? ForgetfulParticipation
      : WitnessParticipation;
    const participation = new Participation(clock, self.host, () =>
      directory.current(),
    );
    const transport = this.transportOf(machine, seen);
    const random = seededRandom(this.starts);
    const parts = {clock, random, self, transport, directory, participation};
    const witness = new ClaimWitness(parts);
    const coordinator = new ClaimCoordinator({...parts, witness});
    const kept = {coordinator, witness, participation, seen, startedAt};
    this.hosts.set(name, {machine, ...kept});
    if (this.starts > 3) void new WitnessRecovery({...parts, witness}).run();
  }

  /** A transport whose every message waits to be chosen. */
  private transportOf(machine: SimulatedHost, seen: string[]): PeerTransport {
    let sent = 0;
    return {
      exchange: (host, body) =>
        new Promise(resolve => {
          if (machine.isKilled) return;
          sent += 1;
          const {host: own, incarnation: start} = machine.identity;
          const label = `${own}.${start}.${sent}>${host} ${nameOf(body)}`;
          const answer = (reply: PeerReplyBody) => {
            if (machine.isKilled) return;
            seen.push(`${label} ${textOf(reply)}`);
            resolve(Result.ok(reply));
          };
          const act = (isAnswered: boolean) =>
            void this.serve(machine.identity, host, body, reply => {
              if (isAnswered) answer(reply);
            });
          // A late abandon only keeps a witness from granting for longer.
          if (label.includes(' abandon ')) act(true);
          else this.pending.set(label, act);
        }),
    };
  }

  private async serve(
    from: PeerIdentity,
    to: HostId,
    body: PeerRequestBody,
    answer: (reply: PeerReplyBody) => void,
  ): Promise<void> {
    const {coordinator, seen} = this.hosts.get(to)!;
    if (body.$case !== 'claim') return;
    if (body.value.action?.$case === 'ownerQuery')
      seen.push(`query of ${from.host}`);
    const value = await coordinator.handle(body.value, from);
    answer({$case: 'claim', value});
  }

  private begin(index: number): void {
    const {coordinator, machine, seen} = this.hostOf(index);
    this.tries[index] = {state: 'begun'};
    seen.push(`begin ${index}`);
    const deadline = this.clock.now() + 10 * longMilliseconds;
    const {signal} = new AbortController();
    void coordinator.begin(key, deadline, signal).then(async result => {
      await machine.waitUntilRunning();
      this.decide(index, result);
    });
  }

  private decide(
    index: number,
    result: Result<ClaimDecision, ClaimRefusal>,
  ): void {
    if (result.isErr) {
      this.tries[index] = {state: 'ended', as: result.error.kind};
      return;
    }
    switch (result.value.kind) {
      case 'run':
        this.tries[index] = {state: 'permitted', permit: result.value.permit};
        return;
      case 'replay':
        if (this.runs !== 1) this.faults.push('replay without a run');
        this.tries[index] = {state: 'ended', as: 'replay'};
    }
  }

  private write(index: number): void {
    const each = this.tries[index]!;
    if (each.state !== 'permitted') return;
    this.hostOf(index).seen.push(`write ${index}`);
    if (each.permit.markSending().isErr) {
      this.tries[index] = {state: 'ended', as: 'late'};
      return;
    }
    this.runs += 1;
    if (this.runs > 1) this.faults.push('ran twice');
    this.tries[index] = {state: 'written', permit: each.permit};
  }

  private answer(index: number): void {
    const each = this.tries[index]!;
    if (each.state !== 'written') return;
    this.hostOf(index).seen.push(`answer ${index}`);
    void each.permit.record(textOutcome('done'));
    this.tries[index] = {state: 'ended', as: 'ran'};
  }

  private async disturb(action: string): Promise<void> {
    this.used.add(action);
    const {crashing, pausing} = this.setting;
    if (action === 'crash') {
      this.start(crashing);
      this.setting.tries.forEach((name, index) => {
        if (name === crashing) this.tries[index] = {state: 'ended', as: 'dead'};
      });
      return;
    }
    this.hosts.get(pausing)!.machine.pause(longMilliseconds);
    for (const {seen} of this.hosts.values()) seen.push(action);
    await this.clock.advance(longMilliseconds);
  }

  private hostOf(index: number): SearchHost {
    return this.hosts.get(this.setting.tries[index]!)!;
  }
}

/** What a search covered. */
export interface SearchReport {
  readonly states: number;
  readonly schedules: number;
  readonly steps: number;
  readonly isComplete: boolean;
  readonly fault: string | undefined;
}

/** Enumerates every order of steps, visiting equal states once. */
export async function searchAll(
  setting: SearchCase,
  maximumStates: number,
): Promise<SearchReport> {
  const visited = new Set<string>();
  const open: string[][] = [[]];
  let schedules = 0;
  let steps = 0;
  let fault: string | undefined;
  while (open.length > 0 && fault === undefined) {
    if (visited.size >= maximumStates) break;
    const path = open.pop()!;
    const run = await SearchRun.create(setting);
    for (const action of path) await run.step(action);
    steps += path.length;
    for (;;) {
      if (run.faults.length > 0) fault = `${run.faults[0]}: ${path.join('; ')}`;
      const state = run.stateKey();
      if (fault !== undefined || visited.has(state)) break;
      visited.add(state);
      const [next, ...others] = run.actions();
      for (const other of others) open.push([...path, other]);
      if (next === undefined) break;
      path.push(next);
      await run.step(next);
      steps += 1;
    }
    schedules += 1;
  }
  const isComplete = open.length === 0 && fault === undefined;
  return {states: visited.size, schedules, steps, isComplete, fault};
}

/** Leaves out the number of the message, which fixes nothing. */
function withoutCount(label: string): string {
  return label.replace(/\.\d+>/, '>');
}

function nameOf(body: PeerRequestBody): string {
  if (body.$case !== 'claim') return body.$case;
  const {owner, action} = body.value;
  return `${action!.$case} ${owner?.host}.${owner?.attempt}`;
}

function textOf(reply: PeerReplyBody): string {
  return JSON.stringify(reply, (_, value: unknown) =>
    typeof value === 'bigint' ? Number(value) : value,
  );
}
