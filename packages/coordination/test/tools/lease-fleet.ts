/** Hosts that send orders under leases, and engines that record them. */

import {Result} from 'true-myth';
import type {
  Engine,
  EngineOrder,
  Lease,
  LeaseRefusal,
  LoadReport,
  MembershipSpec,
  RandomSource,
  UpstreamError,
} from '../../src/index.js';
import {
  hostId,
  incarnation,
  InMemoryNetwork,
  LeaseManager,
  LeaseWitness,
  OrderIssuer,
  randomBelow,
  seededRandom,
  upstreamId,
  VirtualClock,
  WitnessDirectory,
} from '../../src/index.js';
import {createMembers} from './claim-fleet.js';
import {SimulatedHost} from './simulated-host.js';

/** Longer than a lease, so that an order may outlive the lease it came under. */
export const lifetimeMilliseconds = 12_000;
export const loadOrder: EngineOrder = {kind: 'load-model', model: 'm'};

const idleLoad: LoadReport = {
  ageMilliseconds: 0,
  queuedPrefillTokens: 0,
  prefillTokensPerSecond: 1,
  decodeSlots: 1,
  decodeSlotsUsed: 0,
  decodeStepMilliseconds: 1,
  heldTokens: 0,
};

/** An engine that keeps the numbers of the orders that it has obeyed. */
export class RecordingEngine {
  readonly id = upstreamId('e0');
  readonly obeyed: bigint[] = [];

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly checksFencing: boolean,
  ) {}

  get highest(): bigint {
    return this.obeyed.reduce((a, b) => (a > b ? a : b), 0n);
  }

  /** The engine as one host sees it; an order outlives its sender. */
  seenBy(machine: SimulatedHost): Engine {
    const answer = async <Value>(value: Value) => {
      await machine.waitUntilRunning();
      return Result.ok<Value, UpstreamError>(value);
    };
    return {
      id: this.id,
      load: () => answer(idleLoad),
      running: () => answer([]),
      order: async (_order: EngineOrder, fencingNumber: bigint) => {
        const delay = randomBelow(this.random, lifetimeMilliseconds);
        await this.clock.sleep(delay);
        const reply = this.obey(fencingNumber);
        await machine.waitUntilRunning();
        return reply;
      },
    } as unknown as Engine;
  }

  private obey(fencingNumber: bigint): Result<void, UpstreamError> {
    if (this.checksFencing && fencingNumber < this.highest) {
      const code = 'stale-fencing-number';
      return Result.err({kind: 'refused', upstream: this.id, code});
    }
    this.obeyed.push(fencingNumber);
    return Result.ok(undefined);
  }
}

export interface LeaseHost {
  readonly machine: SimulatedHost;
  readonly manager: LeaseManager;
  readonly issuer: OrderIssuer;
}

/** Notes the holders in the order in which they acquired the lease. */
class NotingManager extends LeaseManager {
  constructor(
    parts: ConstructorParameters<typeof LeaseManager>[0],
    private readonly acquired: bigint[],
  ) {
    super(parts);
  }

  override async acquire(
    resource: string,
  ): Promise<Result<Lease, LeaseRefusal>> {
    const result = await super.acquire(resource);
    if (result.isOk) this.acquired.push(result.value.fencingToken);
    return result;
  }
}

export class LeaseFleet {
  readonly clock = new VirtualClock();
  readonly network = new InMemoryNetwork(this.clock);
  readonly hosts = new Map<string, LeaseHost>();
  readonly engine: RecordingEngine;
  /** Numbers of all leases by the time at which they were acquired. */
  readonly acquired: bigint[] = [];
  private readonly membership: MembershipSpec = {members: createMembers(3, 3)};
  private starts = 0;

  constructor(
    readonly random: RandomSource = seededRandom(1),
    readonly checksFencing = true,
    private readonly skewMilliseconds = 0,
    private readonly waitsFor = lifetimeMilliseconds,
  ) {
    this.engine = new RecordingEngine(this.clock, random, checksFencing);
    for (const name of ['h0', 'h1', 'h2']) this.start(name);
  }

  start(name: string): LeaseHost {
    this.hosts.get(name)?.machine.kill();
    const self = {
      host: hostId(name),
      incarnation: incarnation(`${(this.starts += 1)}`),
    };
    const machine = new SimulatedHost(self, this.clock, this.network);
    const skew = (randomBelow(this.random, 3) - 1) * this.skewMilliseconds;
    const clock = {
      ...machine.clock,
      wallNow: () => this.clock.wallNow() + skew,
    };
    const directory = new WitnessDirectory(() => this.membership);
    const parts = {clock, self, directory, transport: machine.transport};
    const witness = new LeaseWitness(parts);
    const manager = new NotingManager({...parts, witness}, this.acquired);
    const issuer = new OrderIssuer({
      clock,
      leases: manager,
      messageLifetimeMilliseconds: this.waitsFor,
      reportedFencingToken: this.checksFencing
        ? async () => this.engine.highest
        : undefined,
    });
    machine.listen(async (body, from) => {
      if (body.$case !== 'lease') throw new TypeError(body.$case);
      return {$case: 'lease', value: witness.handle(body.value, from)};
    });
    const host = {machine, manager, issuer};
    this.hosts.set(name, host);
    return host;
  }

  issue(name: string) {
    const {issuer, machine} = this.hosts.get(name)!;
    return issuer.issue(
      this.engine.seenBy(machine),
      this.checksFencing,
      loadOrder,
      new AbortController().signal,
    );
  }
}
