/** Relays the events of one engine to the caller. */

import type {Clock} from '../clock.js';
import {upstreamId} from '../ids.js';
import type {StreamProgress} from './call-events.js';
import type {RoutedCall, PassthroughResponse} from './call.js';
import {InterruptedResponseError} from './call.js';
import {
  EventStreamSplitter,
  EventTooLongError,
} from './event-stream-splitter.js';
import type {GenerationState} from './generation-run.js';
import type {EngineReservation} from './reservation-queue.js';
import type {BaselineDuration} from './reference-time.js';

/**
 * Time without a byte after which a resumable stream is moved to another
 * engine.
 */
const resumableIdleTimeoutMilliseconds = 1000;

/** An interrupted stream and its progress until then. */
export interface StreamInterruption {
  readonly error: InterruptedResponseError;
  readonly progress: StreamProgress;
}

/**
 * Relays the events of one engine. Returns what interrupted the stream, if
 * anything did.
 */
export async function* relayEvents(
  clock: Clock,
  state: GenerationState,
  response: PassthroughResponse,
  {upstream, load}: EngineReservation,
  baselineInterval: BaselineDuration,
): AsyncGenerator<Uint8Array, StreamInterruption | undefined> {
  const {promptTokens} = state.generation;
  const tokensPerEvent = state.pool.spec.engine?.tokensPerEvent ?? 1;
  const splitter = new EventStreamSplitter();
  const startedAt = clock.now();
  const stallMilliseconds = bodyIdleTimeoutOf(
    state.call,
    state.call.deadline - startedAt,
  );
  let byteAt = startedAt;
  let progressAt = startedAt;
  let events = 0;
  const interruptedBy = (
    error: InterruptedResponseError,
  ): StreamInterruption => ({
    error,
    progress: {
      events,
      millisecondsSinceByte: clock.now() - byteAt,
      millisecondsSinceEvent: clock.now() - progressAt,
    },
  });
  const interruptedWith = (reason: InterruptedResponseError['reason']) =>
    interruptedBy(
      new InterruptedResponseError(upstreamId(upstream.document.name), reason),
    );
  try {
    for await (const chunk of response.body) {
      byteAt = clock.now();
      for (const {bytes, id} of splitter.push(chunk)) {
        if (id !== undefined) {
          // A resumed stream may repeat events that the caller already has.
          if (state.lastEventId !== undefined && id <= state.lastEventId) {
            progressAt = clock.now();
            continue;
          }
          state.lastEventId = id;
        }
        events += 1;
        // Event ids are assumed to count the events of a generation from 1.
        const generatedEvents = Math.max(events, state.lastEventId ?? 0);
        load.setMemoryTokens(promptTokens + generatedEvents * tokensPerEvent);
        yield bytes;
        // Comments do not count where the events of a stream have ids.
        if (id !== undefined || state.lastEventId === undefined)
          progressAt = clock.now();
      }
      // Bytes that complete no event do not show that the engine makes progress.
      if (clock.now() - progressAt > stallMilliseconds)
        return interruptedWith('silent');
    }
  } catch (error) {
    if (error instanceof InterruptedResponseError) return interruptedBy(error);
    if (error instanceof EventTooLongError) return interruptedWith('broken');
    throw error;
  }
  if (splitter.pendingBytes > 0) return interruptedWith('broken');
  const now = clock.now();
  upstream.health.recordSuccess(now);
  if (events > 1) {
    const interval = (now - startedAt) / events;
    upstream.health.recordDurationRatio(now, baselineInterval.record(interval));
  }
  return undefined;
}

/** Maximum time between two chunks of the body of a response. */
export function bodyIdleTimeoutOf(
  {route}: RoutedCall,
  remainingMilliseconds: number,
): number {
  return route.target.resumable === true
    ? Math.min(resumableIdleTimeoutMilliseconds, remainingMilliseconds)
    : remainingMilliseconds;
}
