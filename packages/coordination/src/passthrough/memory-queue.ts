/**
 * Waiting for memory of the decode engines of one pool. Memory is reserved at
 * the engine before the prompt is read, so that no prompt is read in vain; what
 * hosts tell each other only says where to ask first.
 */

import {Result} from 'true-myth';
import type {PoolDocument} from '../generated/documents.js';
import type {AdmittedCall} from './call.js';
import {leastBy} from './least-by.js';
import type {PassthroughParts} from './passthrough-parts.js';
import type {HeldLoad, TrackedUpstream} from './upstream-table.js';

/** Memory of an engine that was reserved for one call. */
export interface Place {
  readonly upstream: TrackedUpstream;
  /** Undefined where engines take no reservations. */
  readonly reservation: string | undefined;
  /** Clock time until which the engine keeps the reservation. */
  readonly reservedUntil: number;
  /** The call on the own books; the engine is not told of changes. */
  readonly load: HeldLoad;
}

interface Waiting {
  readonly call: AdmittedCall;
  readonly tokens: number;
  readonly signal: AbortSignal;
  readonly avoided: ReadonlySet<string>;
  readonly giveUpAt: number;
  readonly settle: (result: Result<Place, 'expired' | 'cancelled'>) => void;
  isAsking: boolean;
}

/** Time that the prompt takes and the first token after it. */
const startMilliseconds = 250;

/** Time after which an engine that refused is asked again, at least. */
const fullMilliseconds = 50;

/** An engine that looks full by what hosts told is asked once in so long. */
const doubtMilliseconds = 2000;

/** Time until a queue looks again without news. */
const lookMilliseconds = 50;

/** Events of each running call for whose tokens memory is left free. */
const growthEvents = 12;

/** Memory goes by blocks; this many tokens round a need up safely. */
const blockTokens = 16;

export class MemoryQueue {
  private readonly waiting = new Set<Waiting>();
  private wake = new AbortController();
  private readonly unsubscribe: () => void;

  constructor(
    private readonly parts: PassthroughParts,
    private readonly poolOf: () => PoolDocument,
  ) {
    this.unsubscribe = parts.upstreams.subscribe(() => this.schedule(0));
  }

  close(): void {
    this.unsubscribe();
    this.wake.abort();
  }

  get length(): number {
    return this.waiting.size;
  }

  /** Waits until memory for `tokens` is reserved, at most until `giveUpAt`. */
  reserve(
    call: AdmittedCall,
    tokens: number,
    giveUpAt: number,
    avoided: ReadonlySet<string>,
    signal: AbortSignal,
  ): Promise<Result<Place, 'expired' | 'cancelled'>> {
    return new Promise(resolve => {
      const entry: Waiting = {
        call,
        tokens: (Math.ceil(tokens / blockTokens) + 1) * blockTokens,
        signal,
        avoided,
        giveUpAt,
        isAsking: false,
        settle: result => {
          signal.removeEventListener('abort', onAbort);
          this.waiting.delete(entry);
          resolve(result);
        },
      };
      const onAbort = () => {
        if (!entry.isAsking) entry.settle(Result.err('cancelled'));
      };
      signal.addEventListener('abort', onAbort);
      this.waiting.add(entry);
      if (signal.aborted) onAbort();
      else this.pump();
    });
  }

  private schedule(milliseconds: number): void {
    if (this.waiting.size === 0) return;
    this.wake.abort();
    const wake = new AbortController();
    this.wake = wake;
    void this.parts.clock.sleep(milliseconds, wake.signal).then(() => {
      if (!wake.signal.aborted) this.pump();
    });
  }

  /** Asks engines for the calls that go first while any may have room. */
  private pump(): void {
    const now = this.parts.clock.now();
    for (const entry of [...this.waiting])
      if (!entry.isAsking && now >= entry.giveUpAt)
        entry.settle(Result.err('expired'));
    for (const entry of this.inOrder(now)) {
      const upstream = this.choose(entry, now);
      // Smaller calls must not go first for ever: large ones would starve.
      if (upstream === undefined) break;
      entry.isAsking = true;
      void this.ask(entry, upstream);
    }
    this.schedule(lookMilliseconds);
  }

  /** Urgent ones first, then those that can still meet their target. */
  private inOrder(now: number): Waiting[] {
    const isLate = ({call}: Waiting) =>
      call.route.targetMilliseconds !== undefined &&
      now - call.arrivedAt + startMilliseconds > call.route.targetMilliseconds;
    return [...this.waiting]
      .filter(entry => !entry.isAsking)
      .map(entry => ({entry, late: Number(isLate(entry))}))
      .sort(
        (left, right) =>
          left.late - right.late ||
          left.entry.call.urgency - right.entry.call.urgency ||
          left.entry.call.arrivedAt - right.entry.call.arrivedAt,
      )
      .map(({entry}) => entry);
  }

  private choose(
    {tokens, avoided, call}: Waiting,
    now: number,
  ): TrackedUpstream | undefined {
    const {upstreams, random, observer} = this.parts;
    const pool = this.poolOf();
    const memory = pool.spec.engine?.memoryTokens ?? Infinity;
    const slots = pool.spec.engine?.slots ?? Infinity;
    const candidates = upstreams
      .liveOf(pool)
      .filter(({document}) => canDecode(document.labels ?? {}))
      .map(upstream => {
        const told = upstreams.toldLoad(upstream.document.name);
        const used = upstream.own.memoryTokens + told.memoryTokens;
        const calls = upstream.own.calls + told.calls;
        const hasRoom =
          used + tokens + growthOf(calls, pool) <= memory && calls < slots;
        return {upstream, used, calls, hasRoom};
      })
      .filter(
        ({upstream, hasRoom}) =>
          now >= upstream.fullUntil &&
          upstream.health.isUsable(now) &&
          !avoided.has(upstream.document.name) &&
          (hasRoom || now - upstream.triedAt >= doubtMilliseconds),
      );
    const chosen = leastBy(
      candidates,
      ({upstream, used, hasRoom}) =>
        ((used + tokens) / memory) *
          upstream.health.slowness(now) *
          (1 + 4 * upstream.health.failureShare(now)) +
        (hasRoom ? 0 : 10) +
        0.02 * random.next(),
    );
    if (chosen === undefined) return undefined;
    chosen.upstream.triedAt = now;
    observer(call.id, {
      kind: 'chosen',
      purpose: 'reserve',
      upstream: chosen.upstream.document.name,
      candidates: candidates.length,
      load: chosen.calls,
      slowness: chosen.upstream.health.slowness(now),
      waited: now - call.arrivedAt,
    });
    return chosen.upstream;
  }

  private async ask(entry: Waiting, upstream: TrackedUpstream): Promise<void> {
    const {clock, transport, upstreams, random, observer} = this.parts;
    const {tokens, call} = entry;
    const lifetime = this.poolOf().spec.engine?.reservationMilliseconds ?? 0;
    const load = upstreams.addLoad(upstream, {
      calls: 1,
      memoryTokens: tokens,
    });
    this.parts.onLoadChanged?.();
    const startedAt = clock.now();
    upstream.health.recordStart(startedAt);
    if (lifetime === 0) {
      const reservedUntil = Infinity;
      entry.settle(
        Result.ok({upstream, reservation: undefined, reservedUntil, load}),
      );
      return;
    }
    const reserved = await transport.reserve(
      upstream.document,
      tokens,
      lifetime,
      entry.signal,
    );
    const now = clock.now();
    observer(call.id, {
      kind: 'stage-done',
      purpose: 'reserve',
      upstream: upstream.document.name,
      outcome: reserved.isOk ? 'reserved' : reserved.error.kind,
      took: now - startedAt,
    });
    entry.isAsking = false;
    if (reserved.isOk) {
      const reservedUntil = startedAt + lifetime;
      const reservation = reserved.value;
      entry.settle(Result.ok({upstream, reservation, reservedUntil, load}));
      return;
    }
    load.end();
    switch (reserved.error.kind) {
      case 'refused':
        upstream.fullUntil = now + fullMilliseconds * (1 + random.next());
        break;
      case 'misdirected':
        upstream.health.recordMisdirected(now);
        break;
      case 'unreachable':
      case 'silent':
      case 'broken':
        upstream.health.recordUnreachable(now);
        break;
      case 'cancelled':
        entry.settle(Result.err('cancelled'));
    }
    this.schedule(0);
  }
}

/** Memory that running calls take soon, before one of them ends. */
function growthOf(calls: number, pool: PoolDocument): number {
  return calls * growthEvents * (pool.spec.engine?.tokensPerEvent ?? 1);
}

/** Upstreams that name no stage do everything. */
export function canDecode(labels: Readonly<Record<string, string>>): boolean {
  return labels['stage'] !== 'prefill';
}
