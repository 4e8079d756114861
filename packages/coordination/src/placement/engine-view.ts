/** The engines known to a host, each polled by its own task. */

import {setMaxListeners} from 'node:events';
import type {Clock} from '../clock.js';
import type {Configuration, Upstream} from '../configuration/configuration.js';
import {liveUpstreams} from '../configuration/live-upstreams.js';
import type {HostId} from '../ids.js';
import type {RandomSource} from '../random.js';
import {rankByRendezvous} from '../rendezvous.js';
import type {Member} from '../generated/documents.js';
import type {Engine} from '../upstreams/engine.js';
import {callWithTimeout} from './abort-scope.js';
import {EngineState} from './engine-state.js';

/** Finds the engine client of an upstream. */
export interface EngineDirectory {
  engineOf(upstream: Upstream): Engine;
}

/** Dependencies of a view. */
export interface EngineViewParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly host: HostId;
  readonly engines: EngineDirectory;
  readonly configuration: () => Configuration;
}

const basePollIntervalMilliseconds = 100;
/** Overcommit of free slots, because few hosts need them at the same time. */
const borrowOvercommitFactor = 1.5;
const pollTimeoutMilliseconds = 400;
/**
 * A single slow report is no failure: it would eject all engines at once when a
 * machine is busy for a moment. Calls detect a silent engine by themselves.
 */
const silentPollsBeforeEjection = 2;
const warmUpCheckIntervalMilliseconds = 10;
/** Limits the cost of polling a large fleet. */
const maximumPollsPerSecond = 400;

export class EngineView {
  private readonly states = new Map<string, EngineState>();
  private readonly closing = new AbortController();
  private readonly pollingTasks = new Set<Promise<void>>();
  /** Called after each load report. */
  onReport: () => void = () => {};

  constructor(private readonly parts: EngineViewParts) {
    // Each polling task adds a listener.
    setMaxListeners(0, this.closing.signal);
  }

  /** The state of an upstream's engine. The first call starts polling it. */
  stateOf(upstream: Upstream): EngineState {
    const key = keyOf(upstream);
    const existing = this.states.get(key);
    if (existing !== undefined) return existing;
    const state = new EngineState(
      upstream,
      this.parts.engines.engineOf(upstream),
    );
    this.states.set(key, state);
    const pollingTask = this.pollUntilRemoved(key, state).finally(() =>
      this.pollingTasks.delete(pollingTask),
    );
    this.pollingTasks.add(pollingTask);
    return state;
  }

  /**
   * Starts polling every configured engine. Resolves when each was polled once,
   * or after `limitMilliseconds`.
   */
  async warmUp(limitMilliseconds: number): Promise<void> {
    const {clock, configuration} = this.parts;
    const current = configuration();
    const states = current.pools
      .filter(pool => pool.spec.role !== 'service')
      .flatMap(pool => liveUpstreams(current, pool))
      .map(upstream => this.stateOf(upstream));
    const deadline = clock.now() + limitMilliseconds;
    while (clock.now() < deadline && states.some(state => !state.hasBeenPolled))
      await clock.sleep(warmUpCheckIntervalMilliseconds, this.closing.signal);
  }

  /** Number of the engine's slots that are guaranteed to this host. */
  guaranteedSlotsOf(state: EngineState): number {
    const members = this.parts.configuration().membership?.spec.members ?? [];
    const {decodeSlots} = state.report;
    if (
      state.guaranteedSlots?.members === members &&
      state.guaranteedSlots.decodeSlots === decodeSlots
    )
      return state.guaranteedSlots.slots;
    const slots = this.computeGuaranteedSlots(state, members);
    state.guaranteedSlots = {members, decodeSlots, slots};
    return slots;
  }

  private computeGuaranteedSlots(
    state: EngineState,
    members: readonly Member[],
  ): number {
    const {decodeSlots} = state.report;
    if (members.length <= 1) return decodeSlots;
    const ranked = rankByRendezvous(
      state.upstream.name,
      members,
      ({host}) => host,
    );
    const rank = ranked.findIndex(({host}) => host === this.parts.host);
    const base = Math.floor(decodeSlots / members.length);
    const getsRemainderSlot = rank >= 0 && rank < decodeSlots % members.length;
    return base + (getsRemainderSlot ? 1 : 0);
  }

  async close(): Promise<void> {
    this.closing.abort();
    await Promise.all(this.pollingTasks);
  }

  private async pollUntilRemoved(
    key: string,
    state: EngineState,
  ): Promise<void> {
    const {clock} = this.parts;
    const {signal} = this.closing;
    while (!signal.aborted && this.isConfigured(key, state)) {
      await this.pollLoad(state, signal);
      state.hasBeenPolled = true;
      if (state.hasBeenPrefillCandidate)
        await this.pollCacheEvents(state, signal);
      const jitterFactor = 0.75 + this.parts.random.next() / 2;
      await clock.sleep(this.pollIntervalMilliseconds() * jitterFactor, signal);
    }
    this.states.delete(key);
  }

  private async pollLoad(
    state: EngineState,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.parts;
    const {engine} = state;
    const report = await callWithTimeout(
      clock,
      pollTimeoutMilliseconds,
      signal,
      engine.id,
      callSignal => engine.load(callSignal),
    );
    if (signal.aborted) return;
    if (report.isErr) {
      const isSilent = report.error.kind === 'silent';
      state.silentPolls = isSilent ? state.silentPolls + 1 : 0;
      if (!isSilent || state.silentPolls >= silentPollsBeforeEjection)
        state.health.recordFailure(clock.now());
      return;
    }
    state.silentPolls = 0;
    state.health.recordReport();
    state.recordReport(
      report.value,
      clock.now(),
      this.borrowableSlots(
        report.value.decodeSlots - report.value.decodeSlotsUsed,
      ),
    );
    this.onReport();
  }

  private async pollCacheEvents(
    state: EngineState,
    signal: AbortSignal,
  ): Promise<void> {
    const {engine, cache} = state;
    const page = await callWithTimeout(
      this.parts.clock,
      pollTimeoutMilliseconds,
      signal,
      engine.id,
      callSignal => engine.cacheEvents(cache.lastSequence, callSignal),
    );
    if (page.isOk) cache.apply(page.value);
  }

  /**
   * Number of free slots that this host can use beyond its guaranteed ones: an
   * equal part, overcommitted. Random rounding keeps it fair on average.
   */
  private borrowableSlots(freeSlots: number): number {
    const members = this.parts.configuration().membership?.spec.members ?? [];
    const equalPart =
      (borrowOvercommitFactor * Math.max(0, freeSlots)) /
      Math.max(1, members.length);
    return Math.floor(equalPart + this.parts.random.next());
  }

  private pollIntervalMilliseconds(): number {
    const fleetIntervalMilliseconds =
      (this.states.size / maximumPollsPerSecond) * 1000;
    return Math.max(basePollIntervalMilliseconds, fleetIntervalMilliseconds);
  }

  private isConfigured(key: string, state: EngineState): boolean {
    const {upstreams} = this.parts.configuration();
    const upstream = upstreams.get(state.upstream.name);
    return upstream !== undefined && keyOf(upstream) === key;
  }
}

function keyOf(upstream: Upstream): string {
  return `${upstream.name} ${upstream.spec.address}`;
}
