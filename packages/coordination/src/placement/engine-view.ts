/** The engines that a host knows, each read by one task of its own. */

import {setMaxListeners} from 'node:events';
import type {Clock} from '../clock.js';
import type {Configuration, Upstream} from '../configuration/configuration.js';
import {liveUpstreams} from '../configuration/live-upstreams.js';
import type {HostId} from '../ids.js';
import type {RandomSource} from '../random.js';
import {rankByRendezvous} from '../rendezvous.js';
import type {Member} from '../generated/documents.js';
import type {Engine} from '../upstreams/engine.js';
import {callWithin} from './abort-scope.js';
import {EngineState} from './engine-state.js';

/** Gives the engine behind an upstream. */
export interface EngineDirectory {
  engineOf(upstream: Upstream): Engine;
}

/** What a view works with. */
export interface EngineViewParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly host: HostId;
  readonly engines: EngineDirectory;
  readonly configuration: () => Configuration;
}

const pollMilliseconds = 100;
/** Free slots are offered this many times over, as few hosts ask at once. */
const borrowFactor = 1.5;
const pollTimeoutMilliseconds = 400;
const warmUpStepMilliseconds = 10;
/** Bounds the cost of reading a large fleet. */
const maximumPollsPerSecond = 400;

export class EngineView {
  private readonly states = new Map<string, EngineState>();
  private readonly closing = new AbortController();
  private readonly tasks = new Set<Promise<void>>();
  /** Called when a report came in. */
  onReport: () => void = () => {};

  constructor(private readonly parts: EngineViewParts) {
    // Each engine's task listens.
    setMaxListeners(0, this.closing.signal);
  }

  /** The state of an upstream's engine; reading it starts with the first use. */
  stateOf(upstream: Upstream): EngineState {
    const key = keyOf(upstream);
    const known = this.states.get(key);
    if (known !== undefined) return known;
    const state = new EngineState(
      upstream,
      this.parts.engines.engineOf(upstream),
    );
    this.states.set(key, state);
    const task = this.read(key, state).finally(() => this.tasks.delete(task));
    this.tasks.add(task);
    return state;
  }

  /**
   * Starts to read every published engine. Resolves when each was asked once,
   * at the latest after `limitMilliseconds`.
   */
  async warmUp(limitMilliseconds: number): Promise<void> {
    const {clock, configuration} = this.parts;
    const current = configuration();
    const states = current.pools
      .filter(pool => pool.spec.role !== 'service')
      .flatMap(pool => liveUpstreams(current, pool))
      .map(upstream => this.stateOf(upstream));
    const end = clock.now() + limitMilliseconds;
    while (clock.now() < end && states.some(state => !state.wasAsked))
      await clock.sleep(warmUpStepMilliseconds, this.closing.signal);
  }

  /** Slots of the engine that this host may always use. */
  slotShare(state: EngineState): number {
    const members = this.parts.configuration().membership?.spec.members ?? [];
    const {decodeSlots} = state.report;
    if (state.share?.members === members && state.share.of === decodeSlots)
      return state.share.slots;
    const slots = this.computeShare(state, members);
    state.share = {members, of: decodeSlots, slots};
    return slots;
  }

  private computeShare(state: EngineState, members: readonly Member[]): number {
    const {decodeSlots} = state.report;
    if (members.length <= 1) return decodeSlots;
    const ranked = rankByRendezvous(
      state.upstream.name,
      members,
      ({host}) => host,
    );
    const rank = ranked.findIndex(({host}) => host === this.parts.host);
    const base = Math.floor(decodeSlots / members.length);
    const isExtra = rank >= 0 && rank < decodeSlots % members.length;
    return base + (isExtra ? 1 : 0);
  }

  async close(): Promise<void> {
    this.closing.abort();
    await Promise.all(this.tasks);
  }

  private async read(key: string, state: EngineState): Promise<void> {
    const {clock} = this.parts;
    const {signal} = this.closing;
    while (!signal.aborted && this.isPublished(key, state)) {
      await this.readLoad(state, signal);
      state.wasAsked = true;
      if (state.isPrefillChoice) await this.readCache(state, signal);
      const jitter = 0.75 + this.parts.random.next() / 2;
      await clock.sleep(this.pollInterval() * jitter, signal);
    }
    this.states.delete(key);
  }

  private async readLoad(
    state: EngineState,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.parts;
    const {engine} = state;
    const report = await callWithin(
      clock,
      pollTimeoutMilliseconds,
      signal,
      engine.id,
      ended => engine.load(ended),
    );
    if (signal.aborted) return;
    if (report.isErr) {
      state.health.recordFailure(clock.now());
      return;
    }
    state.health.recordReport();
    state.takeReport(
      report.value,
      clock.now(),
      this.borrowableSlots(
        report.value.decodeSlots - report.value.decodeSlotsUsed,
      ),
    );
    this.onReport();
  }

  private async readCache(
    state: EngineState,
    signal: AbortSignal,
  ): Promise<void> {
    const {engine, cache} = state;
    const page = await callWithin(
      this.parts.clock,
      pollTimeoutMilliseconds,
      signal,
      engine.id,
      ended => engine.cacheEvents(cache.newestSequence, ended),
    );
    if (page.isOk) cache.apply(page.value);
  }

  /** This host's part of the free slots, rounded at random to be fair. */
  private borrowableSlots(free: number): number {
    const members = this.parts.configuration().membership?.spec.members ?? [];
    const part =
      (borrowFactor * Math.max(0, free)) / Math.max(1, members.length);
    return Math.floor(part + this.parts.random.next());
  }

  private pollInterval(): number {
    const floor = (this.states.size / maximumPollsPerSecond) * 1000;
    return Math.max(pollMilliseconds, floor);
  }

  private isPublished(key: string, state: EngineState): boolean {
    const {upstreams} = this.parts.configuration();
    const upstream = upstreams.get(state.upstream.name);
    return upstream !== undefined && keyOf(upstream) === key;
  }
}

function keyOf(upstream: Upstream): string {
  return `${upstream.name} ${upstream.spec.address}`;
}
