/**
 * Enumerates all orders of the steps of a small scenario with claims on three
 * hosts. The search chooses every step.
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
  MembershipViewCache,
  WitnessParticipation,
  WitnessRecovery,
} from '../../src/index.js';
import {Result} from 'true-myth';
import {
  claimKey,
  NonAbstainingParticipation,
  createMembers,
  textOutcome,
} from './claim-fleet.js';
import {SimulatedHost} from './simulated-host.js';

const membership: MembershipSpec = {
  members: createMembers(3, 3),
  claimRetentionMilliseconds: 600_000,
};
const key = claimKey('k');
/** Exceeds the claim window and the abstention time of a restarted witness. */
const pauseMilliseconds = 1100;

export interface SearchScenario {
  /** Host that receives each call, by call index; all calls use the same key. */
  readonly callHosts: readonly string[];
  readonly crashingHost: string;
  readonly pausingHost: string;
  readonly shouldSkipAbstention: boolean;
}

/** Delivers a message and, if `shouldDeliverReply`, its reply. */
type Deliver = (shouldDeliverReply: boolean) => void;

interface SearchHost {
  readonly machine: SimulatedHost;
  readonly coordinator: ClaimCoordinator;
  readonly witness: ClaimWitness;
  readonly participation: WitnessParticipation;
  readonly startedAt: number;
  /** Inputs of the coordinator: replies, queries and steps. */
  readonly history: string[];
}

type CallState =
  | {state: 'not-begun'}
  | {state: 'claiming'}
  | {state: 'permitted'; permit: ClaimPermit}
  | {state: 'written'; permit: ClaimPermit}
  | {state: 'ended'; result: string};

/** One run of a scenario, controlled step by step. */
export class SearchRun {
  readonly violations: string[] = [];
  private readonly clock = new VirtualClock();
  private readonly network = new InMemoryNetwork(this.clock);
  private readonly hosts = new Map<string, SearchHost>();
  private readonly undelivered = new Map<string, Deliver>();
  private readonly calls: CallState[];
  private readonly injectedFaults = new Set<string>();
  private executionCount = 0;
  private startCount = 0;

  private constructor(private readonly scenario: SearchScenario) {
    this.calls = scenario.callHosts.map(() => ({state: 'not-begun'}));
  }

  static async create(scenario: SearchScenario): Promise<SearchRun> {
    const run = new SearchRun(scenario);
    for (const name of ['h0', 'h1', 'h2']) run.start(name);
    await run.clock.advance(600_000);
    return run;
  }

  /** Returns the possible next steps. */
  actions(): string[] {
    const actions = [...this.undelivered.keys()];
    // At most one reply is lost, and only that of a vote request from h0.
    if (!this.injectedFaults.has('lose'))
      for (const label of this.undelivered.keys())
        if (label.startsWith('h0.') && label.includes(' take '))
          actions.push(`lose reply of ${label}`);
    this.calls.forEach((call, index) => {
      if (call.state === 'not-begun') actions.push(`begin ${index}`);
      if (call.state === 'permitted') actions.push(`write ${index}`);
      if (call.state === 'written') actions.push(`answer ${index}`);
    });
    if (!this.injectedFaults.has('crash')) actions.push('crash');
    const canPause =
      this.injectedFaults.has('crash') ||
      this.calls.some(({state}) => state === 'permitted');
    if (canPause && !this.injectedFaults.has('pause')) actions.push('pause');
    return actions;
  }

  async step(action: string): Promise<void> {
    const [verb, index] = action.split(' ');
    const label = action.replace('lose reply of ', '');
    const deliver = this.undelivered.get(label);
    if (deliver !== undefined) {
      this.undelivered.delete(label);
      if (verb === 'lose') this.injectedFaults.add('lose');
      deliver(verb !== 'lose');
    } else if (verb === 'begin') this.begin(Number(index));
    else if (verb === 'write') this.write(Number(index));
    else if (verb === 'answer') this.answer(Number(index));
    else await this.injectFault(action);
    await this.clock.advance(0);
  }

  /** Returns a string that is equal for two runs only if their states are equal. */
  stateKey(): string {
    const now = this.clock.now();
    const {sleepers} = this.clock as unknown as {
      sleepers: readonly {wakesAt: number}[];
    };
    return JSON.stringify([
      [...this.hosts.values()].map(host => this.hostState(host)),
      this.calls.map(({state}) => state),
      [...this.undelivered.keys()].map(withoutMessageNumber).sort(),
      sleepers.map(({wakesAt}) => wakesAt - now),
      [...this.injectedFaults].sort(),
    ]);
  }

  /**
   * State of one host. Before the host's call has a result, the order of the votes
   * does not affect the state, so the history is sorted. Afterwards the other parts
   * contain the result, so the history is omitted.
   */
  private hostState(host: SearchHost) {
    const {machine, witness, participation, history, startedAt} = host;
    const {table} = witness as unknown as {
      table: {claims: Map<string, Claim>; tombstones: Map<string, number>};
    };
    return [
      [...table.claims.values()].map(({owners, outcome}) => [owners, outcome]),
      [...table.tombstones.keys()].sort(),
      participation.readMembers.sort(),
      participation.isComplete,
      this.clock.now() - startedAt,
      this.hasClaimingCall(machine)
        ? history.map(withoutMessageNumber).sort()
        : [],
    ];
  }

  /**
   * True while a call of the host has no claim result; only then does the history
   * affect the state.
   */
  private hasClaimingCall(machine: SimulatedHost): boolean {
    return this.scenario.callHosts.some(
      (name, index) =>
        name === machine.identity.host &&
        this.calls[index]!.state === 'claiming',
    );
  }

  private start(name: string): void {
    this.hosts.get(name)?.machine.kill();
    const self: PeerIdentity = {
      host: hostId(name),
      incarnation: incarnation(`${(this.startCount += 1)}`),
    };
    const machine = new SimulatedHost(self, this.clock, this.network);
    const {clock} = machine;
    const history: string[] = [];
    const startedAt = this.clock.now();
    const membershipViews = new MembershipViewCache(() => membership);
    const Participation = this.scenario.shouldSkipAbstention
      ? NonAbstainingParticipation
      : WitnessParticipation;
    const participation = new Participation(clock, self.host, () =>
      membershipViews.current(),
    );
    const transport = this.createTransport(machine, history);
    const random = seededRandom(this.startCount);
    const parts = {
      clock,
      random,
      self,
      transport,
      membershipViews,
      participation,
    };
    const witness = new ClaimWitness(parts);
    const coordinator = new ClaimCoordinator({...parts, witness});
    const state = {coordinator, witness, participation, history, startedAt};
    this.hosts.set(name, {machine, ...state});
    if (this.startCount > 3)
      void new WitnessRecovery({...parts, witness}).run();
  }

  /** Creates a transport that holds every message until the search delivers it. */
  private createTransport(
    machine: SimulatedHost,
    history: string[],
  ): PeerTransport {
    let messageCount = 0;
    return {
      exchange: (host, body) =>
        new Promise(resolve => {
          if (machine.isKilled) return;
          messageCount += 1;
          const {host: sender, incarnation: senderIncarnation} =
            machine.identity;
          const label = `${sender}.${senderIncarnation}.${messageCount}>${host} ${describeRequest(body)}`;
          const deliverReply = (reply: PeerReplyBody) => {
            if (machine.isKilled) return;
            history.push(`${label} ${serializeReply(reply)}`);
            resolve(Result.ok(reply));
          };
          const deliver = (shouldDeliverReply: boolean) =>
            void this.serve(machine.identity, host, body, reply => {
              if (shouldDeliverReply) deliverReply(reply);
            });
          // Abandons are delivered at once: a delay can only postpone a grant.
          if (label.includes(' abandon ')) deliver(true);
          else this.undelivered.set(label, deliver);
        }),
    };
  }

  private async serve(
    from: PeerIdentity,
    to: HostId,
    body: PeerRequestBody,
    reply: (body: PeerReplyBody) => void,
  ): Promise<void> {
    const {coordinator, history} = this.hosts.get(to)!;
    if (body.$case !== 'claim') return;
    if (body.value.action?.$case === 'ownerQuery')
      history.push(`query of ${from.host}`);
    const value = await coordinator.handle(body.value, from);
    reply({$case: 'claim', value});
  }

  private begin(index: number): void {
    const {coordinator, machine, history} = this.hostOf(index);
    this.calls[index] = {state: 'claiming'};
    history.push(`begin ${index}`);
    const deadline = this.clock.now() + 10 * pauseMilliseconds;
    const {signal} = new AbortController();
    void coordinator.begin(key, deadline, signal).then(async result => {
      await machine.waitUntilRunning();
      this.applyResult(index, result);
    });
  }

  private applyResult(
    index: number,
    result: Result<ClaimDecision, ClaimRefusal>,
  ): void {
    if (result.isErr) {
      this.calls[index] = {state: 'ended', result: result.error.kind};
      return;
    }
    switch (result.value.kind) {
      case 'run':
        this.calls[index] = {state: 'permitted', permit: result.value.permit};
        return;
      case 'replay':
        if (this.executionCount !== 1)
          this.violations.push('replay without an execution');
        this.calls[index] = {state: 'ended', result: 'replay'};
    }
  }

  private write(index: number): void {
    const call = this.calls[index]!;
    if (call.state !== 'permitted') return;
    this.hostOf(index).history.push(`write ${index}`);
    if (call.permit.markSending().isErr) {
      this.calls[index] = {state: 'ended', result: 'late'};
      return;
    }
    this.executionCount += 1;
    if (this.executionCount > 1) this.violations.push('ran twice');
    this.calls[index] = {state: 'written', permit: call.permit};
  }

  private answer(index: number): void {
    const call = this.calls[index]!;
    if (call.state !== 'written') return;
    this.hostOf(index).history.push(`answer ${index}`);
    void call.permit.record(textOutcome('done'));
    this.calls[index] = {state: 'ended', result: 'executed'};
  }

  private async injectFault(action: string): Promise<void> {
    this.injectedFaults.add(action);
    const {crashingHost, pausingHost} = this.scenario;
    if (action === 'crash') {
      this.start(crashingHost);
      this.scenario.callHosts.forEach((name, index) => {
        if (name === crashingHost)
          this.calls[index] = {state: 'ended', result: 'crashed'};
      });
      return;
    }
    this.hosts.get(pausingHost)!.machine.pause(pauseMilliseconds);
    for (const {history} of this.hosts.values()) history.push(action);
    await this.clock.advance(pauseMilliseconds);
  }

  private hostOf(index: number): SearchHost {
    return this.hosts.get(this.scenario.callHosts[index]!)!;
  }
}

/** Coverage and result of a search. */
export interface SearchReport {
  readonly states: number;
  readonly paths: number;
  readonly steps: number;
  readonly isComplete: boolean;
  readonly violation: string | undefined;
}

/** Explores every order of steps depth-first; visits equal states once. */
export async function searchAll(
  scenario: SearchScenario,
  maximumStates: number,
): Promise<SearchReport> {
  const visited = new Set<string>();
  const unexploredPaths: string[][] = [[]];
  let pathCount = 0;
  let steps = 0;
  let violation: string | undefined;
  while (unexploredPaths.length > 0 && violation === undefined) {
    if (visited.size >= maximumStates) break;
    const path = unexploredPaths.pop()!;
    const run = await SearchRun.create(scenario);
    for (const action of path) await run.step(action);
    steps += path.length;
    for (;;) {
      if (run.violations.length > 0)
        violation = `${run.violations[0]}: ${path.join('; ')}`;
      const state = run.stateKey();
      if (violation !== undefined || visited.has(state)) break;
      visited.add(state);
      const [next, ...others] = run.actions();
      for (const other of others) unexploredPaths.push([...path, other]);
      if (next === undefined) break;
      path.push(next);
      await run.step(next);
      steps += 1;
    }
    pathCount += 1;
  }
  const isComplete = unexploredPaths.length === 0 && violation === undefined;
  return {states: visited.size, paths: pathCount, steps, isComplete, violation};
}

/** Removes the message number, which does not affect the state. */
function withoutMessageNumber(label: string): string {
  return label.replace(/\.\d+>/, '>');
}

function describeRequest(body: PeerRequestBody): string {
  if (body.$case !== 'claim') return body.$case;
  const {owner, action} = body.value;
  return `${action!.$case} ${owner?.host}.${owner?.attempt}`;
}

function serializeReply(reply: PeerReplyBody): string {
  return JSON.stringify(reply, (_, value: unknown) =>
    typeof value === 'bigint' ? Number(value) : value,
  );
}
