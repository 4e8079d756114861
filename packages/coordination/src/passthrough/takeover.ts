/**
 * A generation that is started at another engine while the one before is silent. Each
 * step until the other engine streams may fail, so the one before is kept until then.
 */

import type {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import {AbortScope} from '../placement/abort-scope.js';
import {eventStreamStatus} from './generation-run.js';
import type {StartFailure, StartedGeneration} from './generation-attempts.js';

/**
 * Time for which two engines may run a generation. An engine that has accepted the run
 * then takes over, whether it has streamed or not.
 */
const maximumOverlapMilliseconds = 300;

export interface TakeoverParts {
  readonly clock: Clock;
  /** Aborted when the call is cancelled. */
  readonly signal: AbortSignal;
  /** Calls `onAccepted` when an engine has begun a response. */
  readonly start: (
    signal: AbortSignal,
    onAccepted: () => void,
  ) => Promise<Result<StartedGeneration, StartFailure>>;
  /** Called as soon as the engine before will not be kept, unless the start fails. */
  readonly onAccepted: () => void;
  readonly onFailure: (failure: Pick<StartFailure, 'step' | 'reason'>) => void;
}

export class Takeover {
  private readonly scope: AbortScope;
  private readonly accepted: Promise<void>;
  private accept = () => {};
  /** Resolves with undefined if no other engine takes the generation. */
  readonly started: Promise<StartedGeneration | undefined>;

  constructor(private readonly parts: TakeoverParts) {
    this.scope = new AbortScope(parts.signal);
    this.accepted = new Promise(resolve => (this.accept = resolve));
    this.started = this.start();
  }

  /** Resolves with whether the engine before can be given up. */
  async isSafe(): Promise<boolean> {
    const isStarted = this.started.then(each => each !== undefined);
    return Promise.race([isStarted, this.overlapEnd()]);
  }

  /** Ends the generation at the other engine. */
  close(): void {
    this.scope.close();
    void this.started.then(started => started && endAttempt(started));
  }

  private async start(): Promise<StartedGeneration | undefined> {
    const {signal} = this.scope;
    const started = await this.parts.start(signal, () => {
      this.parts.onAccepted();
      this.accept();
    });
    if (started.isErr) {
      if (!signal.aborted) this.parts.onFailure(started.error);
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
   * Waits for the first bytes, or until the overlap ends. Resolves with undefined if the
   * response ends without any.
   */
  private async untilStreaming(
    started: StartedGeneration,
  ): Promise<StartedGeneration | undefined> {
    const chunks = started.response.body[Symbol.asyncIterator]();
    const first = chunks.next();
    const hasBytes = await Promise.race([
      first.then(
        ({done}) => done !== true,
        () => false,
      ),
      this.overlapEnd(),
    ]);
    if (!hasBytes) return undefined;
    const body = prepend(first, chunks);
    return {...started, response: {...started.response, body}};
  }

  /** Resolves with true when two engines have run the generation for long enough. */
  private async overlapEnd(): Promise<true> {
    const {accepted, scope} = this;
    const {clock} = this.parts;
    await accepted;
    await clock.sleep(maximumOverlapMilliseconds, scope.signal);
    return true;
  }
}

/** Ends an attempt whose response is not relayed. */
export function endAttempt({attempt, reservation}: StartedGeneration): void {
  attempt.close();
  reservation.load.release();
}

async function* prepend(
  first: Promise<IteratorResult<Uint8Array>>,
  rest: AsyncIterator<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  for (let next = await first; next.done !== true; next = await rest.next())
    yield next.value;
}
