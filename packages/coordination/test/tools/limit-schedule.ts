/**
 * Random schedules of requests and failures, and a check that no period admits
 * more than burst plus rate times time.
 */

import fc from 'fast-check';
import {immediateDelivery, randomBelow, seededRandom} from '../../src/index.js';
import type {Configuration, Member, RandomSource} from '../../src/index.js';
import {
  LimitFleet,
  account,
  limitConfiguration,
  createMembers,
} from './limit-fleet.js';
import type {FleetHost} from './limit-fleet.js';

type Step = {readonly afterMilliseconds: number; readonly host: number} & (
  | {
      readonly kind: 'admit';
      readonly tokens: number;
      readonly usedPercent: number;
      readonly settleMilliseconds: number;
      readonly requestCount: number;
    }
  | {readonly kind: 'restart'}
  | {
      readonly kind: 'pause';
      readonly milliseconds: number;
      readonly stopsClock: boolean;
    }
  | {readonly kind: 'jump-wall-clock'; readonly milliseconds: number}
  | {readonly kind: 'cut'; readonly domain: number}
  | {readonly kind: 'end-cut'}
  | {
      readonly kind: 'change-limits';
      readonly rate: number;
      readonly burst: number;
    }
  | {readonly kind: 'change-members'}
);

export interface Schedule {
  readonly seed: number;
  readonly holdersPerDomain: number;
  readonly steps: readonly Step[];
}

interface TokenUse {
  readonly at: number;
  tokens: number;
}

interface ActiveVersion {
  readonly rate: number;
  readonly burst: number;
  readonly from: number;
  until: number;
}

/** Longest time for which a grant of a previous version is used. */
const staleGrantMilliseconds = 350;

const domainCount = 2;
const hostsPerDomain = 2;
const hostCount = domainCount * hostsPerDomain + 1;

/** All hosts; the last one is a member only in the second list. */
const allMembers: Member[] = [
  ...createMembers(domainCount, hostsPerDomain),
  {host: 'host-9', failureDomain: 'domain-1', address: '10.0.0.9:7000'},
];
const firstMembers = allMembers.slice(0, -1);
const secondMembers = allMembers.slice(1);

const timing = {
  afterMilliseconds: fc.oneof(
    {weight: 3, arbitrary: fc.integer({min: 0, max: 20})},
    {weight: 2, arbitrary: fc.integer({min: 0, max: 600})},
    {weight: 2, arbitrary: fc.integer({min: 0, max: 3_000})},
  ),
  host: fc.nat({max: hostCount - 1}),
};

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      ...timing,
      kind: fc.constant('admit' as const),
      tokens: fc.integer({min: 1, max: 40}),
      usedPercent: fc.constantFrom(0, 10, 50, 100),
      settleMilliseconds: fc.integer({min: 0, max: 2_000}),
      requestCount: fc.integer({min: 1, max: 10}),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({...timing, kind: fc.constant('restart' as const)}),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      ...timing,
      kind: fc.constant('pause' as const),
      milliseconds: fc.integer({min: 1, max: 2_000}),
      stopsClock: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      ...timing,
      kind: fc.constant('jump-wall-clock' as const),
      milliseconds: fc.integer({min: 1, max: 10_000}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      ...timing,
      kind: fc.constant('cut' as const),
      domain: fc.nat({max: domainCount - 1}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({...timing, kind: fc.constant('end-cut' as const)}),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      ...timing,
      kind: fc.constant('change-limits' as const),
      rate: fc.constantFrom(5, 20, 60),
      burst: fc.constantFrom(30, 100, 200),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      ...timing,
      kind: fc.constant('change-members' as const),
    }),
  },
);

export const scheduleArbitrary: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.integer({min: 1, max: 2 ** 31 - 1}),
  holdersPerDomain: fc.constantFrom(1, 2),
  steps: fc.array(stepArbitrary, {minLength: 5, maxLength: 40}),
});

/** Runs one schedule against real limiters. */
export class ScheduleRunner {
  readonly tokenUses: TokenUse[] = [];
  private readonly versions: ActiveVersion[] = [];
  private readonly fleet: LimitFleet;
  private readonly random: RandomSource;
  private readonly backgroundTasks: Promise<void>[] = [];
  private cutDomain: string | undefined;
  private rate = 20;
  private burst = 100;
  private members = firstMembers;
  private previousMembers: Member[] | undefined;
  private latestConfiguration: Configuration;

  constructor(private readonly schedule: Schedule) {
    this.random = seededRandom(schedule.seed);
    this.latestConfiguration = this.createVersion(1);
    this.fleet = new LimitFleet(
      allMembers,
      this.latestConfiguration,
      index => 1 + (index - 2) * 0.01,
      schedule.holdersPerDomain,
    );
    this.fleet.network.policy = (from, to) => this.deliveryOf(from, to);
  }

  async run(): Promise<void> {
    const {clock} = this.fleet;
    await clock.advance(randomBelow(this.random, 10_000));
    for (const step of this.schedule.steps) {
      await clock.advance(step.afterMilliseconds);
      this.applyStep(step, this.fleet.hosts[step.host]!);
    }
    await clock.advance(4_000);
    await clock.runUntil(Promise.all(this.backgroundTasks));
    await this.fleet.close();
  }

  /** Tokens above the bound in the worst period; at most zero if it holds. */
  worstExcess(): number {
    let worst = -Infinity;
    this.tokenUses.forEach((first, start) => {
      let used = 0;
      for (const last of this.tokenUses.slice(start)) {
        used += last.tokens;
        const {rate, burst} = this.highestLimits(first.at, last.at);
        const seconds = (last.at - first.at) / 1_000;
        const allowed = burst + rate * seconds * fastestClockSpeed;
        worst = Math.max(worst, used - allowed - roundingToleranceTokens);
      }
    });
    return worst;
  }

  private applyStep(step: Step, host: FleetHost): void {
    switch (step.kind) {
      case 'admit':
        for (let index = 0; index < step.requestCount; index += 1)
          this.backgroundTasks.push(this.admit(step, host));
        return;
      case 'restart':
        this.fleet.restart(host);
        return;
      case 'pause':
        this.backgroundTasks.push(this.pause(step, host));
        return;
      case 'jump-wall-clock':
        host.clock.jumpWallClock(step.milliseconds);
        return;
      case 'cut':
        this.cutDomain = `domain-${step.domain}`;
        return;
      case 'end-cut':
        this.cutDomain = undefined;
        return;
      case 'change-limits':
        this.rate = step.rate;
        this.burst = step.burst;
        this.distributeConfiguration();
        return;
      case 'change-members':
        this.changeMembers();
    }
  }

  private async admit(
    step: Extract<Step, {kind: 'admit'}>,
    host: FleetHost,
  ): Promise<void> {
    if (host.clock.isPaused) return;
    const {limiter} = host;
    // The limiter resolves in the same task in which it charges tokens.
    const result = await limiter.admit(account, step.tokens);
    if (result.isErr) return;
    const use = {at: this.fleet.clock.now(), tokens: step.tokens};
    this.tokenUses.push(use);
    await this.fleet.clock.sleep(step.settleMilliseconds);
    await host.clock.waitUntilRunning();
    if (host.limiter !== limiter) return;
    use.tokens = (step.tokens * step.usedPercent) / 100;
    result.value.settle(use.tokens);
  }

  private async pause(
    step: Extract<Step, {kind: 'pause'}>,
    host: FleetHost,
  ): Promise<void> {
    if (host.clock.isPaused) return;
    host.clock.pause(step.stopsClock);
    await this.fleet.clock.sleep(step.milliseconds);
    host.clock.resume();
  }

  /**
   * Starts or ends a change of the member list. Does nothing if a host does not
   * yet have the latest configuration.
   */
  private changeMembers(): void {
    const {hosts} = this.fleet;
    if (hosts.some(host => host.configuration !== this.latestConfiguration))
      return;
    if (this.previousMembers !== undefined) {
      this.previousMembers = undefined;
    } else {
      this.previousMembers = this.members;
      this.members =
        this.members === firstMembers ? secondMembers : firstMembers;
    }
    this.distributeConfiguration();
  }

  private distributeConfiguration(): void {
    this.latestConfiguration = this.createVersion(
      Number(this.latestConfiguration.version) + 1,
    );
    const {latestConfiguration} = this;
    const previousVersion = this.versions[this.versions.length - 2]!;
    const {hosts, clock} = this.fleet;
    const deliveries = hosts.map(async host => {
      await clock.sleep(randomBelow(this.random, 800));
      await host.clock.waitUntilRunning();
      if (host.configuration.version >= latestConfiguration.version) return;
      host.configuration = latestConfiguration;
      host.limiter.applyConfiguration();
    });
    this.backgroundTasks.push(
      Promise.all(deliveries).then(() => {
        previousVersion.until = clock.now() + staleGrantMilliseconds;
      }),
    );
  }

  private createVersion(version: number): Configuration {
    const from = version === 1 ? 0 : this.fleet.clock.now();
    const {rate, burst} = this;
    this.versions.push({rate, burst, from, until: Infinity});
    return limitConfiguration(
      version,
      rate,
      burst,
      this.members,
      this.previousMembers,
    );
  }

  private highestLimits(start: number, end: number) {
    const inForce = this.versions.filter(
      version => version.from <= end && version.until >= start,
    );
    return {
      rate: Math.max(...inForce.map(version => version.rate)),
      burst: Math.max(...inForce.map(version => version.burst)),
    };
  }

  private deliveryOf(from: string, to: string) {
    const domainOf = (name: string) =>
      allMembers.find(member => member.host === name)?.failureDomain;
    const isCut =
      this.cutDomain !== undefined &&
      (domainOf(from) === this.cutDomain) !== (domainOf(to) === this.cutDomain);
    const isSlow = randomBelow(this.random, 10) === 0;
    const isDuplicated = randomBelow(this.random, 2) === 0;
    return {
      ...immediateDelivery,
      isDropped: isCut || randomBelow(this.random, 20) === 0,
      delayMilliseconds: isSlow ? randomBelow(this.random, 60) : 1.5,
      copyDelaysMilliseconds:
        isDuplicated && !isCut
          ? [randomBelow(this.random, isSlow ? 2_000 : 50)]
          : [],
    };
  }
}

/** Speed of the fastest host clock. */
const fastestClockSpeed = 1.02;

/** Tolerance for rounding errors in sums of fractions. */
const roundingToleranceTokens = 1e-6;
