/** Calls of a model engine over a network with delays, cuts and silence. */

import {Result} from 'true-myth';
import type {DecodedToken, Engine, UpstreamError} from '../upstreams/engine.js';
import type {EngineAnswer, SimulatedEngine} from './simulated-engine.js';

/** The way from one host to an engine. */
export interface EngineLink {
  readonly delayMilliseconds: number;
  /** False while the two cannot reach each other. */
  readonly isReachable: () => boolean;
}

const perfectRoute: EngineLink = {
  delayMilliseconds: 0,
  isReachable: () => true,
};

/** An engine as one host reaches it. */
export function connectEngine(
  target: SimulatedEngine,
  engineAt: (address: string) => SimulatedEngine,
  route: EngineLink = perfectRoute,
): Engine {
  const connection = new EngineConnection(target, route);
  return {
    id: target.id,
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
    order: async () => Result.ok(undefined),
  };
}

class EngineConnection {
  constructor(
    private readonly target: SimulatedEngine,
    private readonly route: EngineLink,
  ) {}

  async call<Value>(
    signal: AbortSignal,
    answer: () => EngineAnswer<Value> | Promise<EngineAnswer<Value>>,
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
      void this.exchange(answer).then(result => {
        if (result !== undefined) settle(result);
      });
    });
  }

  async *stream(
    signal: AbortSignal,
    open: (isOpen: () => boolean) => AsyncGenerator<DecodedToken | undefined>,
  ): AsyncGenerator<Result<DecodedToken, UpstreamError>> {
    const {target, route} = this;
    const upstream = target.id;
    if (!this.canConnect()) {
      await target.clock.sleep(route.delayMilliseconds, signal);
      return yield Result.err({kind: 'unreachable', upstream});
    }
    const epoch = target.connectionEpoch;
    const isOpen = () =>
      !signal.aborted && target.connectionEpoch === epoch && this.isHeard();
    const wake = () => target.wakeAll();
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
      else yield* this.waitInSilence(signal);
    } finally {
      signal.removeEventListener('abort', wake);
    }
  }

  private async *waitInSilence(
    signal: AbortSignal,
  ): AsyncGenerator<Result<DecodedToken, UpstreamError>> {
    await new Promise<void>(resolve => {
      if (signal.aborted) resolve();
      else signal.addEventListener('abort', () => resolve(), {once: true});
    });
    yield Result.err({kind: 'cancelled', upstream: this.target.id});
  }

  /** The answer of one call; undefined when none ever comes. */
  private async exchange<Value>(
    answer: () => EngineAnswer<Value> | Promise<EngineAnswer<Value>>,
  ): Promise<Result<Value, UpstreamError> | undefined> {
    const {target} = this;
    const upstream = target.id;
    await this.travel();
    if (!this.canConnect()) return Result.err({kind: 'unreachable', upstream});
    if (target.fault.kind === 'silent') return undefined;
    const epoch = target.connectionEpoch;
    const result = await answer();
    await this.travel();
    if (this.isBroken(epoch)) return Result.err({kind: 'broken', upstream});
    if (target.connectionEpoch !== epoch || !this.isHeard()) return undefined;
    return result.mapErr(code => ({kind: 'refused', upstream, code}));
  }

  private async travel(): Promise<void> {
    const {delayMilliseconds} = this.route;
    if (delayMilliseconds > 0) await this.target.clock.sleep(delayMilliseconds);
  }

  private canConnect(): boolean {
    return this.target.fault.kind !== 'dead' && this.route.isReachable();
  }

  private isHeard(): boolean {
    return this.target.fault.kind !== 'silent' && this.route.isReachable();
  }

  private isBroken(epoch: number): boolean {
    const {target} = this;
    return target.connectionEpoch !== epoch && target.areOldConnectionsBroken;
  }
}
