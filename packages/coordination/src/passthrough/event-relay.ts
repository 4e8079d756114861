/** Relays the events of one engine to the caller. */

import type {Clock} from '../clock.js';
import {expectedRemainingTokens} from '../decisions/memory-forecast.js';
import type {UpstreamSpeeds} from '../decisions/upstream-speeds.js';
import {upstreamId} from '../ids.js';
import type {StreamProgress} from './call-events.js';
import type {PassthroughResponse} from './call.js';
import {InterruptedResponseError} from './call.js';
import {
  EventStreamSplitter,
  EventTooLongError,
} from './event-stream-splitter.js';
import type {GenerationState} from './generation-run.js';
import type {EngineReservation} from './reservation-queue.js';
import type {BaselineDuration} from './reference-time.js';
import type {StallMonitor} from '../stall-monitor.js';
import type {Takeover} from './takeover.js';

/** An interrupted stream and its progress until then. */
export interface StreamInterruption {
  readonly error: InterruptedResponseError;
  readonly progress: StreamProgress;
  /** Resolves with the generation at another engine that goes on, if there is one. */
  readonly takeover: Promise<Takeover | undefined>;
}

export interface EventRelayParts {
  readonly clock: Clock;
  readonly state: GenerationState;
  readonly response: PassthroughResponse;
  readonly reservation: EngineReservation;
  readonly monitor: StallMonitor<Takeover>;
  readonly baselineInterval: BaselineDuration;
  readonly speeds?: UpstreamSpeeds | undefined;
  /** Called before the first event of the engine is passed on. */
  readonly onBegin: () => void;
  /** Called when the engine has shown that it can answer. */
  readonly onFirstEvent: () => void;
}

/**
 * Relays the events of one engine. Returns what interrupted the stream, if
 * anything did. The caller of this function cancels the response.
 */
export async function* relayEvents(
  parts: EventRelayParts,
): AsyncGenerator<Uint8Array, StreamInterruption | undefined> {
  const {clock, state, response, reservation, monitor} = parts;
  const splitter = new EventStreamSplitter();
  const startedAt = clock.now();
  let byteAt = startedAt;
  let events = 0;
  let hasAnswered = false;
  let hasBegun = false;
  const isContinuation = state.lastEventId !== undefined;
  const interruptedBy = (
    error: InterruptedResponseError,
    takeover = monitor.adopt(),
  ): StreamInterruption => {
    const now = clock.now();
    const millisecondsSinceByte = now - byteAt;
    const millisecondsSinceEvent = now - monitor.lastProgressAt;
    const progress = {events, millisecondsSinceByte, millisecondsSinceEvent};
    return {error, progress, takeover};
  };
  const errorOf = (reason: InterruptedResponseError['reason']) =>
    new InterruptedResponseError(
      upstreamId(reservation.upstream.document.name),
      reason,
    );
  const chunks = response.body[Symbol.asyncIterator]();
  try {
    for (;;) {
      const next = await monitor.wait(chunks.next());
      if (next.kind === 'replaced')
        return interruptedBy(
          errorOf('silent'),
          Promise.resolve(next.replacement),
        );
      if (next.kind === 'overdue') return interruptedBy(errorOf('silent'));
      if (next.value.done === true) break;
      byteAt = clock.now();
      monitor.recordActivity();
      // Events that arrive together are passed on together.
      const passedOn: Uint8Array[] = [];
      let hasProgress = false;
      let isForeign = false;
      for (const event of splitter.push(next.value.value)) {
        // What a continuation begins with is an event that the stream numbers. An
        // error that is written in its place is no part of the stream.
        isForeign =
          isContinuation &&
          state.attemptEvents === 0 &&
          event.id === undefined &&
          (event.hasData || event.hasUnknownFields);
        if (isForeign) break;
        const isRepeated = recordEventId(state, event.id);
        if (event.id !== undefined) {
          state.attemptEvents += 1;
          if (state.attemptEvents === 1) parts.onFirstEvent();
        }
        if (event.hasData) hasAnswered = true;
        // Comments do not count, nor events without ids where others have ids.
        const hasIds = state.lastEventId !== undefined;
        hasProgress ||= event.id !== undefined || (event.hasData && !hasIds);
        if (isRepeated) continue;
        events += 1;
        const isContent = event.id !== undefined || event.hasData;
        if (isContent && !hasBegun) parts.onBegin();
        hasBegun ||= isContent;
        passedOn.push(event.bytes);
      }
      response.held?.setIncomplete(splitter.pendingBytes);
      if (hasProgress) monitor.suspend();
      if (passedOn.length > 0) {
        recordMemory(state, reservation, events);
        yield passedOn.length === 1 ? passedOn[0]! : Buffer.concat(passedOn);
      }
      if (hasProgress) monitor.resume();
      if (isForeign) return interruptedBy(errorOf('broken'));
    }
  } catch (error) {
    if (error instanceof InterruptedResponseError) return interruptedBy(error);
    if (error instanceof EventTooLongError)
      return interruptedBy(errorOf('broken'));
    throw error;
  }
  if (splitter.pendingBytes > 0) return interruptedBy(errorOf('broken'));
  if (state.attemptEvents === 0 && hasAnswered) parts.onFirstEvent();
  // A process that goes down ends a response without a length like a complete one,
  // and a continuation without an event does not show that the stream was complete.
  const hasContent = isContinuation
    ? state.attemptEvents > 0
    : hasAnswered || state.lastEventId !== undefined;
  if (!hasContent) return interruptedBy(errorOf('broken'));
  recordCompletedStream(parts, startedAt, events);
  return undefined;
}

/**
 * Records the id of an event. Returns whether the caller already has the event,
 * which a resumed stream may repeat.
 */
function recordEventId(state: GenerationState, id: number | undefined) {
  if (id === undefined) return false;
  if (state.lastEventId !== undefined && id <= state.lastEventId) return true;
  state.lastEventId = id;
  return false;
}

function recordMemory(
  {generation, pool, lastEventId}: GenerationState,
  {load}: EngineReservation,
  events: number,
): void {
  const tokensPerEvent = pool.spec.engine?.tokensPerEvent ?? 1;
  // Event ids are assumed to count the events of a generation from 1.
  const generatedEvents = Math.max(events, lastEventId ?? 0);
  const generatedTokens = generatedEvents * tokensPerEvent;
  load.setMemoryTokens(
    generation.promptTokens + generatedTokens,
    expectedRemainingTokens(generation, generatedTokens),
  );
}

function recordCompletedStream(
  {clock, reservation, baselineInterval, speeds}: EventRelayParts,
  startedAt: number,
  events: number,
): void {
  const {health, document} = reservation.upstream;
  const now = clock.now();
  health.recordSuccess(now);
  if (events <= 1) return;
  const interval = (now - startedAt) / events;
  health.recordDurationRatio(now, baselineInterval.record(interval));
  speeds?.record(document.name, 'decode', events, now - startedAt, now);
}
