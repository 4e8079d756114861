/** Seeks an engine that takes over a generation whose engine makes no progress. */

import type {Result} from 'true-myth';
import {AbortScope} from '../placement/abort-scope.js';
import type {RequestFailure} from '../requests/failure.js';
import {EngineReplacement} from './engine-replacement.js';
import type {
  StartFailure,
  StartOptions,
  StartedGeneration,
} from './generation-attempts.js';
import type {GenerationState} from './generation-run.js';
import type {PassthroughParts} from './passthrough-parts.js';
import type {EngineReservation} from './reservation-queue.js';
import type {RetryGate} from './retry-gate.js';
import {Takeover} from './takeover.js';

/** Starts generations at other engines. */
export interface GenerationStarter {
  /** The queue timeout counts from the clock time `queuedAt`. */
  reserve(
    state: GenerationState,
    signal: AbortSignal,
    queuedAt: number,
    silentEngines: ReadonlySet<string>,
  ): Promise<Result<EngineReservation, RequestFailure>>;
  start(
    state: GenerationState,
    options: StartOptions,
  ): Promise<Result<StartedGeneration, StartFailure>>;
  releaseReusableCache(state: GenerationState): void;
}

export class TakeoverSearch {
  private readonly replacement: EngineReplacement;

  /** `options` are those of the attempt; its engine is among `silentEngines`. */
  constructor(
    private readonly parts: PassthroughParts,
    retryGate: RetryGate,
    private readonly starter: GenerationStarter,
    private readonly state: GenerationState,
    private readonly options: Pick<
      StartOptions,
      'signal' | 'silentEngines' | 'run'
    >,
  ) {
    const {clock, releases} = parts;
    this.replacement = new EngineReplacement(
      {
        retryGate,
        reserve: signal =>
          starter.reserve(state, signal, clock.now(), options.silentEngines),
        releaseReservation: reservation =>
          releases.releaseReservation(reservation),
      },
      state,
    );
  }

  /**
   * Resolves with undefined if no engine takes over now. After `commit`, the attempt
   * is given up although it goes on.
   */
  async find(
    search: AbortSignal,
    commit: () => void,
  ): Promise<Takeover | undefined> {
    const {state, replacement} = this;
    this.parts.sendGate.exemptFromStop(state.call);
    await state.versionCheck;
    if (state.isVersionUncertain) return replacement.withhold('version');
    const reservation = await this.reserve(search);
    if (reservation === undefined) return undefined;
    const takeover = this.begin(reservation, commit);
    if (search.aborted) takeover.close();
    search.addEventListener('abort', () => takeover.close(), {once: true});
    return (await takeover.isSafe()) ? takeover : undefined;
  }

  /** Ends with `search`, or when the call is cancelled. */
  private async reserve(
    search: AbortSignal,
  ): Promise<EngineReservation | undefined> {
    const scope = new AbortScope(this.options.signal);
    search.addEventListener('abort', () => scope.abort(), {once: true});
    if (search.aborted) scope.abort();
    const reservation = await this.replacement.find(scope.signal);
    scope.close();
    return reservation;
  }

  private begin(reservation: EngineReservation, commit: () => void): Takeover {
    const {starter, state, options} = this;
    const {clock, observer} = this.parts;
    return new Takeover({
      clock,
      signal: options.signal,
      start: async (signal, run) => {
        const {silentEngines} = options;
        const started = await starter.start(state, {
          signal,
          silentEngines,
          reservation,
          run,
        });
        // The engine before goes on.
        if (started.isErr && signal.aborted)
          starter.releaseReusableCache(state);
        return started;
      },
      onVerified: () => {
        // Until its first event, a stream may go on at another version.
        if (state.softwareVersion !== undefined) commit();
        options.run?.verified();
      },
      onFailure: failure =>
        observer(state.call.id, {kind: 'not-resumed', ...failure}),
    });
  }
}
