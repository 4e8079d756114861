/** Relays the events of one engine to the caller. */

import type {Clock} from '../clock.js';
import {upstreamId} from '../ids.js';
import type {RoutedCall, PassthroughResponse} from './call.js';
import {InterruptedResponseError} from './call.js';
import {
  EventStreamSplitter,
  EventTooLongError,
} from './event-stream-splitter.js';
import type {GenerationState} from './generation-run.js';
import type {EngineReservation} from './reservation-queue.js';
import type {BaselineDuration} from './reference-time.js';
import type {TrackedUpstream} from './upstream-table.js';

/**
 * Time without a byte after which a resumable stream is moved to another
 * engine.
 */
const resumableIdleTimeoutMilliseconds = 1000;

/**
 * Relays the events of one engine. Returns the error that interrupted the
 * stream, if any.
 */
export async function* relayEvents(
  clock: Clock,
  state: GenerationState,
  response: PassthroughResponse,
  {upstream, load}: EngineReservation,
  baselineInterval: BaselineDuration,
): AsyncGenerator<Uint8Array, InterruptedResponseError | undefined> {
  const {promptTokens} = state.generation;
  const tokensPerEvent = state.pool.spec.engine?.tokensPerEvent ?? 1;
  const splitter = new EventStreamSplitter();
  const startedAt = clock.now();
  let events = 0;
  try {
    for await (const chunk of response.body) {
      for (const {bytes, id} of splitter.push(chunk)) {
        if (id !== undefined) {
          // A resumed stream may repeat events that the caller already has.
          if (state.lastEventId !== undefined && id <= state.lastEventId)
            continue;
          state.lastEventId = id;
        }
        events += 1;
        // Event ids are assumed to count the events of a generation from 1.
        const generatedEvents = Math.max(events, state.lastEventId ?? 0);
        load.setMemoryTokens(promptTokens + generatedEvents * tokensPerEvent);
        yield bytes;
      }
    }
  } catch (error) {
    if (error instanceof InterruptedResponseError) return error;
    if (error instanceof EventTooLongError) return brokenBy(upstream);
    throw error;
  }
  if (splitter.pendingBytes > 0) return brokenBy(upstream);
  const now = clock.now();
  upstream.health.recordSuccess(now);
  if (events > 1) {
    const interval = (now - startedAt) / events;
    upstream.health.recordDurationRatio(now, baselineInterval.record(interval));
  }
  return undefined;
}

function brokenBy({document}: TrackedUpstream): InterruptedResponseError {
  return new InterruptedResponseError(upstreamId(document.name), 'broken');
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
