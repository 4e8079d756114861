/** Random schedules of calls and faults, applied to a fleet with claims. */

import fc from 'fast-check';
import type {Delivery, HostId, MembershipSpec} from '../../src/index.js';
import {randomBelow} from '../../src/index.js';
import {
  ClaimFleet,
  claimKey,
  resultKind,
  createMembers,
  textOutcome,
} from './claim-fleet.js';

const scheduleMilliseconds = 9000;
const keys = ['k', 'l'];

/** Bit n of `hostMask` is the side of host n in a network partition. */
export type ScheduleEvent =
  | {
      kind: 'call';
      atMilliseconds: number;
      host: number;
      key: number;
      timeoutMilliseconds: number;
    }
  | {
      kind: 'crash';
      atMilliseconds: number;
      host: number;
      downtimeMilliseconds: number;
    }
  | {
      kind: 'pause';
      atMilliseconds: number;
      host: number;
      durationMilliseconds: number;
    }
  | {
      kind: 'partition';
      atMilliseconds: number;
      hostMask: number;
      durationMilliseconds: number;
    }
  | {kind: 'change-membership'; atMilliseconds: number; host: number};

export interface Schedule {
  seed: number;
  hosts: 3 | 4 | 5 | 6;
  witnesses: 3 | 5;
  disturbancePercent: number;
  events: ScheduleEvent[];
}

const atMilliseconds = fc.nat(scheduleMilliseconds);
const host = fc.nat(5);
const durationMilliseconds = fc.nat(4000);
const call = fc.record({
  kind: fc.constant('call' as const),
  atMilliseconds,
  host,
  key: fc.nat(1),
  timeoutMilliseconds: fc.integer({min: 1, max: 3000}),
});
const crash = fc.record({
  kind: fc.constant('crash' as const),
  atMilliseconds,
  host,
  downtimeMilliseconds: fc.nat(1500),
});
const pause = fc.record({
  kind: fc.constant('pause' as const),
  atMilliseconds,
  host,
  durationMilliseconds,
});
const partition = fc.record({
  kind: fc.constant('partition' as const),
  atMilliseconds,
  hostMask: fc.nat(63),
  durationMilliseconds,
});
const membershipChange = fc.record({
  kind: fc.constant('change-membership' as const),
  atMilliseconds,
  host,
});

export const schedules: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.integer(),
  hosts: fc.constantFrom(3 as const, 4 as const, 5 as const, 6 as const),
  witnesses: fc.constantFrom(3 as const, 5 as const),
  disturbancePercent: fc.constantFrom(0, 10, 30),
  events: fc.array(
    fc.oneof(
      {weight: 6, arbitrary: call},
      {weight: 2, arbitrary: crash},
      {weight: 1, arbitrary: pause},
      {weight: 1, arbitrary: partition},
      {weight: 1, arbitrary: membershipChange},
    ),
    {minLength: 6, maxLength: 20},
  ),
});

/** Result of a schedule. */
export interface ScheduleReport {
  readonly violations: string[];
  readonly executions: number;
  readonly replays: number;
  readonly refusals: number;
}

class ScheduleRun {
  private readonly fleet: ClaimFleet;
  private readonly names: string[];
  /** Response body of each execution, by key. */
  private readonly executions = new Map<string, string[]>();
  private readonly recordedKeys = new Set<string>();
  private readonly report = {
    violations: [] as string[],
    executions: 0,
    replays: 0,
    refusals: 0,
  };
  private readonly partitions = new Set<number>();

  constructor(
    private readonly schedule: Schedule,
    shouldSkipAbstention: boolean,
  ) {
    this.fleet = new ClaimFleet(schedule.seed, shouldSkipAbstention);
    this.names = Array.from(
      {length: schedule.hosts},
      (_, index) => `h${index}`,
    );
  }

  async run(): Promise<ScheduleReport> {
    const {fleet, schedule} = this;
    await fleet.startAll(this.names, this.membershipIn('before'));
    fleet.network.policy = (from, to) => this.deliver(from, to);
    for (const event of schedule.events) void this.applyEvent(event);
    await fleet.clock.advance(scheduleMilliseconds);
    fleet.network.policy = () => ({
      delayMilliseconds: 1,
      isDropped: false,
      copyDelaysMilliseconds: [],
    });
    for (const name of this.names)
      fleet.memberships.set(name, this.membershipIn('during'));
    await fleet.clock.advance(20_000);
    for (const key of keys) await this.checkFinalState(key);
    for (const executions of this.executions.values()) {
      this.report.executions += executions.length;
      if (executions.length > 1)
        this.report.violations.push(`ran twice: ${executions.join()}`);
    }
    return this.report;
  }

  /** Membership before, and during, the replacement of some of the members. */
  private membershipIn(phase: 'before' | 'during'): MembershipSpec {
    const {hosts, witnesses} = this.schedule;
    const members = createMembers(hosts, 3);
    const before = members.slice(0, Math.max(3, hosts - 1));
    const after = members.slice(-Math.max(3, hosts - 1));
    const list = (phase === 'before' ? before : after) as typeof members;
    const previous = phase === 'during' ? {previousMembers: before} : {};
    return {
      members: list,
      ...previous,
      witnesses,
      claimRetentionMilliseconds: 60_000,
    };
  }

  private async applyEvent(event: ScheduleEvent): Promise<void> {
    const {clock} = this.fleet;
    await clock.sleep(event.atMilliseconds);
    switch (event.kind) {
      case 'call':
        return this.runCall(this.nameOf(event.host), keys[event.key]!, event);
      case 'crash': {
        const name = this.nameOf(event.host);
        this.fleet.hosts.get(name)!.machine.kill();
        await clock.sleep(event.downtimeMilliseconds);
        this.fleet.start(name);
        return;
      }
      case 'pause':
        this.machineOf(event.host).pause(event.durationMilliseconds);
        return;
      case 'partition':
        this.partitions.add(event.hostMask);
        await clock.sleep(event.durationMilliseconds);
        this.partitions.delete(event.hostMask);
        return;
      case 'change-membership':
        this.fleet.memberships.set(
          this.nameOf(event.host),
          this.membershipIn('during'),
        );
    }
  }

  /** Performs one call, with random delays before and after `markSending`. */
  private async runCall(
    name: string,
    key: string,
    {timeoutMilliseconds}: {timeoutMilliseconds: number},
  ): Promise<void> {
    const {fleet} = this;
    const {machine} = fleet.hosts.get(name)!;
    if (machine.isKilled) return;
    await machine.waitUntilRunning();
    const result = await fleet.begin(name, claimKey(key), timeoutMilliseconds);
    if (result.isErr) {
      this.report.refusals += 1;
      return;
    }
    if (result.value.kind === 'replay') {
      this.checkReplay(key, decodeBody(result.value.outcome.body));
      return;
    }
    const {permit} = result.value;
    await machine.clock.sleep(randomBelow(fleet.random, 1300));
    if (permit.markSending().isErr) {
      this.report.refusals += 1;
      return;
    }
    if (randomBelow(fleet.random, 8) === 0) {
      permit.markNotExecuted();
      return;
    }
    // In half of the calls the request has already left the host, so a pause of
    // the host does not delay it.
    const clock = randomBelow(fleet.random, 2) ? fleet.clock : machine.clock;
    await clock.sleep(randomBelow(fleet.random, 50));
    const body = `${name} at ${fleet.clock.now()}`;
    this.executions.set(key, [...(this.executions.get(key) ?? []), body]);
    await machine.clock.sleep(randomBelow(fleet.random, 1000));
    if (permit.markSending().isOk)
      this.report.violations.push('permit used twice');
    if ((await permit.record(textOutcome(body))) > 0)
      this.recordedKeys.add(key);
  }

  /**
   * Checks that an executed key cannot be executed again and, after at most one
   * crash, that a recorded outcome is replayed.
   */
  private async checkFinalState(key: string): Promise<void> {
    const result = await this.fleet.beginAndAdvance(
      this.names[0]!,
      claimKey(key),
    );
    const kind = resultKind(result);
    if (result.isOk && result.value.kind === 'replay')
      this.checkReplay(key, decodeBody(result.value.outcome.body));
    if (kind === 'run' && this.executions.has(key))
      this.report.violations.push('executed key can be executed again');
    const crashes = this.schedule.events.filter(({kind}) => kind === 'crash');
    if (crashes.length <= 1 && this.recordedKeys.has(key) && kind !== 'replay')
      this.report.violations.push(`${kind} instead of the recorded outcome`);
  }

  private checkReplay(key: string, body: string): void {
    this.report.replays += 1;
    if (this.executions.get(key)?.[0] !== body)
      this.report.violations.push(
        `replayed an outcome other than that of the first execution: ${body}`,
      );
  }

  private deliver(from: HostId, to: HostId): Delivery {
    const {random} = this.fleet;
    const occurs = (percent: number) => randomBelow(random, 100) < percent;
    const isPartitioned = [...this.partitions].some(
      hostMask => sideOf(hostMask, from) !== sideOf(hostMask, to),
    );
    const isSlow = occurs(this.schedule.disturbancePercent);
    return {
      delayMilliseconds: randomBelow(random, isSlow ? 2500 : 10),
      isDropped: isPartitioned || occurs(this.schedule.disturbancePercent),
      copyDelaysMilliseconds: occurs(10) ? [randomBelow(random, 3000)] : [],
    };
  }

  private nameOf(index: number): string {
    return this.names[index % this.names.length]!;
  }

  private machineOf(index: number) {
    return this.fleet.hosts.get(this.nameOf(index))!.machine;
  }
}

/** Runs `schedule`, optionally with witnesses that vote right after a restart. */
export function runSchedule(
  schedule: Schedule,
  shouldSkipAbstention = false,
): Promise<ScheduleReport> {
  return new ScheduleRun(schedule, shouldSkipAbstention).run();
}

function sideOf(hostMask: number, host: HostId): number {
  return (hostMask >> Number(host.slice(1))) & 1;
}

function decodeBody(body: Uint8Array): string {
  return new TextDecoder().decode(body);
}
