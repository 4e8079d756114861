/**
 * Connects hosts to a simulated engine over a network with delays, partitions
 * and silent connections.
 */

import {Result} from 'true-myth';
import type {DecodedToken, Engine, UpstreamError} from '../upstreams/engine.js';
import type {EngineAnswer, SimulatedEngine} from './simulated-engine.js';

/** The network link between a host and an engine. */
export interface EngineLink {
  readonly delayMilliseconds: number;
  /** Whether the host and the engine can reach each other now. */
  readonly isReachable: () => boolean;
}

const immediateLink: EngineLink = {
  delayMilliseconds: 0,
  isReachable: () => true,
};

/** Returns the client interface of `target` for one host. */
export function connectEngine(
  target: SimulatedEngine,
  engineAt: (address: string) => SimulatedEngine,
  link: EngineLink = immediateLink,
): Engine {
  const connection = new EngineConnection(target, link);
  return {
    id: target.id,
    // Simulated engines are addressed by their ids.
    address: target.id,
    load: signal => connection.call(signal, () => Result.ok(target.load())),
    prefill: (request, signal) =>
      connection.call(signal, () => target.prefill(request)),
    importCache: (request, signal) =>
      connection.call(signal, () =>
        target.importCache(request, engineAt(request.sourceAddress)),
      ),
    decode: (request, signal) =>
      connection.stream(signal, isOpen => target.decode(request, isOpen)),
    cancel: (attempt, signal) =>
      connection.call(signal, () => Result.ok(target.cancel(attempt))),
    running: signal =>
      connection.call(signal, () => Result.ok(target.running())),
    cacheEvents: (afterSequence, signal) =>
      connection.call(signal, () =>
        Result.ok(target.cacheEvents(afterSequence)),
      ),
    // Simulated engines accept and ignore orders.
    order: async () => Result.ok(undefined),
  };
}

class EngineConnection {
  constructor(
    private readonly target: SimulatedEngine,
    private readonly link: EngineLink,
  ) {}

  async call<Value>(
    signal: AbortSignal,
    handler: () => EngineAnswer<Value> | Promise<EngineAnswer<Value>>,
  ): Promise<Result<Value, UpstreamError>> {
    const upstream = this.target.id;
    if (signal.aborted) return Result.err({kind: 'cancelled', upstream});
    return new Promise(resolve => {
      const settle = (result: Result<Value, UpstreamError>) => {
        signal.removeEventListener('abort', cancel);
        resolve(result);
      };
      const cancel = () => settle(Result.err({kind: 'cancelled', upstream}));
      signal.addEventListener('abort', cancel, {once: true});
      void this.exchange(handler).then(result => {
        if (result !== undefined) settle(result);
      });
    });
  }

  async *stream(
    signal: AbortSignal,
    open: (isOpen: () => boolean) => AsyncGenerator<DecodedToken | undefined>,
  ): AsyncGenerator<Result<DecodedToken, UpstreamError>> {
    const {target, link} = this;
    const upstream = target.id;
    if (!this.canConnect()) {
      await target.clock.sleep(link.delayMilliseconds, signal);
      return yield Result.err({kind: 'unreachable', upstream});
    }
    const epoch = target.connectionEpoch;
    const isOpen = () =>
      !signal.aborted && target.connectionEpoch === epoch && this.canReceive();
    const wake = () => target.notifyStepWaiters();
    signal.addEventListener('abort', wake, {once: true});
    try {
      for await (const token of open(isOpen)) {
        if (token === undefined && isOpen())
          yield Result.err({
            kind: 'refused',
            upstream,
            code: 'unknown-attempt',
          });
        else if (token !== undefined) yield Result.ok(token);
        if (token === undefined) break;
        if (token.last) return;
      }
      if (signal.aborted) yield Result.err({kind: 'cancelled', upstream});
      else if (this.isBroken(epoch))
        yield Result.err({kind: 'broken', upstream});
      else yield* this.waitForCancellation(signal);
    } finally {
      signal.removeEventListener('abort', wake);
    }
  }

  private async *waitForCancellation(
    signal: AbortSignal,
  ): AsyncGenerator<Result<DecodedToken, UpstreamError>> {
    await new Promise<void>(resolve => {
      if (signal.aborted) resolve();
      else signal.addEventListener('abort', () => resolve(), {once: true});
    });
    yield Result.err({kind: 'cancelled', upstream: this.target.id});
  }

  /** Returns the result of one call, or undefined if no answer ever arrives. */
  private async exchange<Value>(
    handler: () => EngineAnswer<Value> | Promise<EngineAnswer<Value>>,
  ): Promise<Result<Value, UpstreamError> | undefined> {
    const {target} = this;
    const upstream = target.id;
    await this.waitLinkDelay();
    if (!this.canConnect()) return Result.err({kind: 'unreachable', upstream});
    if (target.fault.kind === 'silent') return undefined;
    const epoch = target.connectionEpoch;
    const result = await handler();
    await this.waitLinkDelay();
    if (this.isBroken(epoch)) return Result.err({kind: 'broken', upstream});
    if (target.connectionEpoch !== epoch || !this.canReceive())
      return undefined;
    return result.mapErr(code => ({kind: 'refused', upstream, code}));
  }

  private async waitLinkDelay(): Promise<void> {
    const {delayMilliseconds} = this.link;
    if (delayMilliseconds > 0) await this.target.clock.sleep(delayMilliseconds);
  }

  private canConnect(): boolean {
    return this.target.fault.kind !== 'dead' && this.link.isReachable();
  }

  private canReceive(): boolean {
    return this.target.fault.kind !== 'silent' && this.link.isReachable();
  }

  private isBroken(epoch: number): boolean {
    const {target} = this;
    return target.connectionEpoch !== epoch && target.areOldConnectionsBroken;
  }
}
