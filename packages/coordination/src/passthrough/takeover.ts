/**
 * A generation that is started at another engine while the one before is silent. Each
 * step until the other engine streams may fail, so the one before is kept until then.
 */

import type {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import {sleepUntilRead} from '../pause-aware-sleep.js';
import {AbortScope} from '../placement/abort-scope.js';
import {eventStreamStatus} from './generation-run.js';
import type {StartFailure, StartedGeneration} from './generation-attempts.js';
import {StreamOpening} from './stream-opening.js';

/**
 * Time for which two engines may run a generation. The other engine then takes over,
 * whether it has streamed or not.
 */
const maximumOverlapMilliseconds = 300;

/** Receives how far the run at the other engine has come. */
export interface RunObserver {
  /** The engine has begun a response, and runs the generation from now on. */
  accepted(): void;
  /** The generation may go on with this response. */
  verified(): void;
  /** The run has ended without one. */
  failed(): void;
}

export interface TakeoverParts {
  readonly clock: Clock;
  /** Aborted when the call is cancelled. */
  readonly signal: AbortSignal;
  /** Finds another engine, and reports each run there. */
  readonly start: (
    signal: AbortSignal,
    run: RunObserver,
  ) => Promise<Result<StartedGeneration, StartFailure>>;
  /** Called when a run may take the place of the one before. */
  readonly onVerified: () => void;
  readonly onFailure: (failure: Pick<StartFailure, 'step' | 'reason'>) => void;
}

export class Takeover {
  private readonly scope: AbortScope;
  /** Resolves when two engines have run the generation for long enough. */
  private readonly overlapped: Promise<true>;
  private endOverlap: (value: true) => void = () => {};
  /** Resolves with undefined if no other engine takes the generation. */
  readonly started: Promise<StartedGeneration | undefined>;

  constructor(private readonly parts: TakeoverParts) {
    this.scope = new AbortScope(parts.signal);
    this.overlapped = new Promise(resolve => (this.endOverlap = resolve));
    this.started = this.start();
  }

  /** Resolves with whether the engine before is to be given up. */
  async isSafe(): Promise<boolean> {
    const isStarted = this.started.then(each => each !== undefined);
    return Promise.race([isStarted, this.overlapped]);
  }

  /** Ends the generation at the other engine. */
  close(): void {
    this.scope.close();
    void this.started.then(started => started && endAttempt(started));
  }

  private async start(): Promise<StartedGeneration | undefined> {
    const {signal} = this.scope;
    const {start, onFailure} = this.parts;
    const started = await start(signal, this.observeRuns());
    if (started.isErr) {
      if (!signal.aborted) onFailure(started.error);
      return undefined;
    }
    const {status} = started.value.response;
    const streaming =
      status === eventStreamStatus
        ? await this.untilStreaming(started.value)
        : undefined;
    if (streaming === undefined) this.recordFailure(started.value);
    return streaming;
  }

  private observeRuns(): RunObserver {
    const {clock, onVerified} = this.parts;
    let run = new AbortController();
    return {
      accepted: () => {
        const {signal} = (run = new AbortController());
        void sleepUntilRead(clock, maximumOverlapMilliseconds, signal).then(
          () => {
            if (!signal.aborted) this.endOverlap(true);
          },
        );
      },
      verified: onVerified,
      failed: () => run.abort(),
    };
  }

  /** Ends an attempt that has brought no stream. */
  private recordFailure(started: StartedGeneration): void {
    endAttempt(started);
    if (this.scope.signal.aborted) return;
    const {clock, onFailure} = this.parts;
    const {response, reservation} = started;
    reservation.upstream.health.recordFailure(clock.now());
    onFailure({step: 'run', reason: String(response.status)});
  }

  /**
   * Waits for the first event, or until the overlap ends. Resolves with undefined if the
   * response ends without any.
   */
  private async untilStreaming(
    started: StartedGeneration,
  ): Promise<StartedGeneration | undefined> {
    // The start was taken over in its turn.
    if (started.isOpened === true) return started;
    const {response} = started;
    const opening = new StreamOpening(response);
    const isStreaming = await Promise.race([
      opening.hasEvent(),
      this.overlapped,
    ]);
    if (!isStreaming) return undefined;
    const body = opening.relay();
    return {...started, isOpened: true, response: {...response, body}};
  }
}

/** Ends an attempt whose response is not relayed. */
export function endAttempt({attempt, reservation}: StartedGeneration): void {
  attempt.close();
  reservation.load.release();
}
