/** Hosts that send orders under leases, and an engine that records them. */

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
  MembershipViewCache,
} from '../../src/index.js';
import {createMembers} from './claim-fleet.js';
import {SimulatedHost} from './simulated-host.js';

/** Longer than a lease, so an order can outlive the lease it was sent under. */
export const orderLifetimeMilliseconds = 12_000;
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

/** Engine that records the fencing tokens of the orders it has accepted. */
export class RecordingEngine {
  readonly id = upstreamId('e0');
  readonly acceptedTokens: bigint[] = [];

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly checksFencing: boolean,
  ) {}

  get highestToken(): bigint {
    return this.acceptedTokens.reduce((a, b) => (a > b ? a : b), 0n);
  }

  /** Engine client of one host. An order outlives its sender. */
  connectFrom(machine: SimulatedHost): Engine {
    const respond = async <Value>(value: Value) => {
      await machine.waitUntilRunning();
      return Result.ok<Value, UpstreamError>(value);
    };
    return {
      id: this.id,
      load: () => respond(idleLoad),
      running: () => respond([]),
      order: async (_order: EngineOrder, fencingToken: bigint) => {
        const delay = randomBelow(this.random, orderLifetimeMilliseconds);
        await this.clock.sleep(delay);
        const reply = this.applyOrder(fencingToken);
        await machine.waitUntilRunning();
        return reply;
      },
    } as unknown as Engine;
  }

  private applyOrder(fencingToken: bigint): Result<void, UpstreamError> {
    if (this.checksFencing && fencingToken < this.highestToken) {
      const code = 'old-fencing-number';
      return Result.err({kind: 'refused', upstream: this.id, code});
    }
    this.acceptedTokens.push(fencingToken);
    return Result.ok(undefined);
  }
}

export interface LeaseHost {
  readonly machine: SimulatedHost;
  readonly manager: LeaseManager;
  readonly issuer: OrderIssuer;
}

/** Records fencing tokens in the order in which the lease was acquired. */
class RecordingLeaseManager extends LeaseManager {
  constructor(
    parts: ConstructorParameters<typeof LeaseManager>[0],
    private readonly acquiredTokens: bigint[],
  ) {
    super(parts);
  }

  override async acquire(
    resource: string,
  ): Promise<Result<Lease, LeaseRefusal>> {
    const result = await super.acquire(resource);
    if (result.isOk) this.acquiredTokens.push(result.value.fencingToken);
    return result;
  }
}

export class LeaseFleet {
  readonly clock = new VirtualClock();
  readonly network = new InMemoryNetwork(this.clock);
  readonly hosts = new Map<string, LeaseHost>();
  readonly engine: RecordingEngine;
  /** Fencing tokens of all acquired leases, oldest first. */
  readonly acquiredTokens: bigint[] = [];
  private readonly membership: MembershipSpec = {members: createMembers(3, 3)};
  private incarnationCount = 0;

  constructor(
    readonly random: RandomSource = seededRandom(1),
    readonly checksFencing = true,
    private readonly skewMilliseconds = 0,
    private readonly messageLifetimeMilliseconds = orderLifetimeMilliseconds,
  ) {
    this.engine = new RecordingEngine(this.clock, random, checksFencing);
    for (const name of ['h0', 'h1', 'h2']) this.start(name);
  }

  /** Starts a host and kills its previous incarnation. */
  start(name: string): LeaseHost {
    this.hosts.get(name)?.machine.kill();
    const self = {
      host: hostId(name),
      incarnation: incarnation(`${(this.incarnationCount += 1)}`),
    };
    const machine = new SimulatedHost(self, this.clock, this.network);
    const skew = (randomBelow(this.random, 3) - 1) * this.skewMilliseconds;
    const clock = {
      ...machine.clock,
      wallNow: () => this.clock.wallNow() + skew,
    };
    const membershipViews = new MembershipViewCache(() => this.membership);
    const parts = {clock, self, membershipViews, transport: machine.transport};
    const witness = new LeaseWitness(parts);
    const manager = new RecordingLeaseManager(
      {...parts, witness},
      this.acquiredTokens,
    );
    const issuer = new OrderIssuer({
      clock,
      leases: manager,
      messageLifetimeMilliseconds: this.messageLifetimeMilliseconds,
      readHighestFencingToken: this.checksFencing
        ? async () => this.engine.highestToken
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
      this.engine.connectFrom(machine),
      this.checksFencing,
      loadOrder,
      new AbortController().signal,
    );
  }
}
