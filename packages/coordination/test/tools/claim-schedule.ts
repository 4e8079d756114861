/** Random schedules of tries and faults, run against a fleet of claims. */

import fc from 'fast-check';
import type {Delivery, HostId, MembershipSpec} from '../../src/index.js';
import {randomBelow} from '../../src/index.js';
import {
  ClaimFleet,
  claimKey,
  describe,
  createMembers,
  textOutcome,
} from './claim-fleet.js';

const horizonMilliseconds = 9000;
const keys = ['k', 'l'];

export type ScheduleEvent =
  | {kind: 'try'; at: number; host: number; key: number; patience: number}
  | {kind: 'crash'; at: number; host: number; downFor: number}
  | {kind: 'pause'; at: number; host: number; lasting: number}
  | {kind: 'cut'; at: number; side: number; lasting: number}
  | {kind: 'relist'; at: number; host: number};

export interface Schedule {
  seed: number;
  hosts: 3 | 4 | 5 | 6;
  witnesses: 3 | 5;
  lossPercent: number;
  events: ScheduleEvent[];
}

const at = fc.nat(horizonMilliseconds);
const host = fc.nat(5);
const lasting = fc.nat(4000);
const tryEvent = fc.record({
  kind: fc.constant('try' as const),
  at,
  host,
  key: fc.nat(1),
  patience: fc.integer({min: 1, max: 3000}),
});
const crash = fc.record({
  kind: fc.constant('crash' as const),
  at,
  host,
  downFor: fc.nat(1500),
});
const pause = fc.record({
  kind: fc.constant('pause' as const),
  at,
  host,
  lasting,
});
const cut = fc.record({
  kind: fc.constant('cut' as const),
  at,
  side: fc.nat(63),
  lasting,
});
const relist = fc.record({kind: fc.constant('relist' as const), at, host});

export const schedules: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.integer(),
  hosts: fc.constantFrom(3 as const, 4 as const, 5 as const, 6 as const),
  witnesses: fc.constantFrom(3 as const, 5 as const),
  lossPercent: fc.constantFrom(0, 10, 30),
  events: fc.array(
    fc.oneof(
      {weight: 6, arbitrary: tryEvent},
      {weight: 2, arbitrary: crash},
      {weight: 1, arbitrary: pause},
      {weight: 1, arbitrary: cut},
      {weight: 1, arbitrary: relist},
    ),
    {minLength: 6, maxLength: 20},
  ),
});

/** What a schedule did. */
export interface ScheduleReport {
  readonly faults: string[];
  readonly runs: number;
  readonly replays: number;
  readonly refusals: number;
}

class ScheduleRun {
  private readonly fleet: ClaimFleet;
  private readonly names: string[];
  /** Runs that the service saw, by key. */
  private readonly runs = new Map<string, string[]>();
  private readonly recorded = new Set<string>();
  private readonly report = {
    faults: [] as string[],
    runs: 0,
    replays: 0,
    refusals: 0,
  };
  private readonly cuts = new Set<number>();

  constructor(
    private readonly schedule: Schedule,
    forgetful: boolean,
  ) {
    this.fleet = new ClaimFleet(schedule.seed, forgetful);
    this.names = Array.from(
      {length: schedule.hosts},
      (_, index) => `h${index}`,
    );
  }

  async run(): Promise<ScheduleReport> {
    const {fleet, schedule} = this;
    await fleet.startAll(this.names, this.listing('before'));
    fleet.network.policy = (from, to) => this.deliver(from, to);
    for (const event of schedule.events) void this.play(event);
    await fleet.clock.advance(horizonMilliseconds);
    fleet.network.policy = () => ({
      delayMilliseconds: 1,
      isDropped: false,
      copyDelaysMilliseconds: [],
    });
    for (const name of this.names)
      fleet.memberships.set(name, this.listing('both'));
    await fleet.clock.advance(20_000);
    for (const key of keys) await this.tryAtTheEnd(key);
    for (const runs of this.runs.values()) {
      this.report.runs += runs.length;
      if (runs.length > 1) this.report.faults.push(`ran twice: ${runs.join()}`);
    }
    return this.report;
  }

  /** Two of the members are replaced by others while both lists count. */
  private listing(phase: 'before' | 'both'): MembershipSpec {
    const {hosts, witnesses} = this.schedule;
    const members = createMembers(hosts, 3);
    const before = members.slice(0, Math.max(3, hosts - 1));
    const after = members.slice(-Math.max(3, hosts - 1));
    const list = (phase === 'before' ? before : after) as typeof members;
    const previous = phase === 'both' ? {previousMembers: before} : {};
    return {
      members: list,
      ...previous,
      witnesses,
      claimRetentionMilliseconds: 60_000,
    };
  }

  private async play(event: ScheduleEvent): Promise<void> {
    const {clock} = this.fleet;
    await clock.sleep(event.at);
    switch (event.kind) {
      case 'try':
        return this.try(this.nameOf(event.host), keys[event.key]!, event);
      case 'crash': {
        const name = this.nameOf(event.host);
        this.fleet.hosts.get(name)!.machine.kill();
        await clock.sleep(event.downFor);
        this.fleet.start(name);
        return;
      }
      case 'pause':
        this.machineOf(event.host).pause(event.lasting);
        return;
      case 'cut':
        this.cuts.add(event.side);
        await clock.sleep(event.lasting);
        this.cuts.delete(event.side);
        return;
      case 'relist':
        this.fleet.memberships.set(
          this.nameOf(event.host),
          this.listing('both'),
        );
    }
  }

  /** One try of a caller, with pauses before and after the last check. */
  private async try(
    name: string,
    key: string,
    {patience}: {patience: number},
  ): Promise<void> {
    const {fleet} = this;
    const {machine} = fleet.hosts.get(name)!;
    if (machine.isKilled) return;
    await machine.waitUntilRunning();
    const result = await fleet.begin(name, claimKey(key), patience);
    if (result.isErr) {
      this.report.refusals += 1;
      return;
    }
    if (result.value.kind === 'replay') {
      this.checkReplay(key, describeBody(result.value.outcome.body));
      return;
    }
    const {permit} = result.value;
    await machine.clock.sleep(randomBelow(fleet.random, 1300));
    if (permit.markSending().isErr) {
      this.report.refusals += 1;
      return;
    }
    if (randomBelow(fleet.random, 8) === 0) {
      permit.abandonNotExecuted();
      return;
    }
    // The write is under way already, or a pause holds it back.
    const clock = randomBelow(fleet.random, 2) ? fleet.clock : machine.clock;
    await clock.sleep(randomBelow(fleet.random, 50));
    const body = `${name} at ${fleet.clock.now()}`;
    this.runs.set(key, [...(this.runs.get(key) ?? []), body]);
    await machine.clock.sleep(randomBelow(fleet.random, 1000));
    if (permit.markSending().isOk) this.report.faults.push('used twice');
    if ((await permit.record(textOutcome(body))) > 0) this.recorded.add(key);
  }

  /** With at most one crash a recorded outcome must be found again. */
  private async tryAtTheEnd(key: string): Promise<void> {
    const result = await this.fleet.decide(this.names[0]!, claimKey(key));
    const kind = describe(result);
    if (result.isOk && result.value.kind === 'replay')
      this.checkReplay(key, describeBody(result.value.outcome.body));
    if (kind === 'run' && this.runs.has(key))
      this.report.faults.push('may run again at the end');
    const crashes = this.schedule.events.filter(({kind}) => kind === 'crash');
    if (crashes.length <= 1 && this.recorded.has(key) && kind !== 'replay')
      this.report.faults.push(`${kind} in place of the outcome`);
  }

  private checkReplay(key: string, body: string): void {
    this.report.replays += 1;
    if (this.runs.get(key)?.[0] !== body)
      this.report.faults.push(`replayed ${body}`);
  }

  private deliver(from: HostId, to: HostId): Delivery {
    const {random} = this.fleet;
    const chance = (percent: number) => randomBelow(random, 100) < percent;
    const isCut = [...this.cuts].some(
      side => sideOf(side, from) !== sideOf(side, to),
    );
    const isSlow = chance(this.schedule.lossPercent);
    return {
      delayMilliseconds: randomBelow(random, isSlow ? 2500 : 10),
      isDropped: isCut || chance(this.schedule.lossPercent),
      copyDelaysMilliseconds: chance(10) ? [randomBelow(random, 3000)] : [],
    };
  }

  private nameOf(index: number): string {
    return this.names[index % this.names.length]!;
  }

  private machineOf(index: number) {
    return this.fleet.hosts.get(this.nameOf(index))!.machine;
  }
}

/** Runs `schedule`; with `forgetful` witnesses that vote after a restart. */
export function runSchedule(
  schedule: Schedule,
  forgetful = false,
): Promise<ScheduleReport> {
  return new ScheduleRun(schedule, forgetful).run();
}

function sideOf(side: number, host: HostId): number {
  return (side >> Number(host.slice(1))) & 1;
}

function describeBody(body: Uint8Array): string {
  return new TextDecoder().decode(body);
}
