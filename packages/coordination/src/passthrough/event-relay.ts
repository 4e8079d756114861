/** Passing on the events of one engine. */

import type {Clock} from '../clock.js';
import {upstreamId} from '../ids.js';
import type {AdmittedCall, PassthroughAnswer} from './call.js';
import {BrokenAnswerError} from './call.js';
import {EventStreamSplitter} from './event-stream-splitter.js';
import type {GenerationRun} from './generation-run.js';
import type {Place} from './memory-queue.js';
import type {ReferenceTime} from './reference-time.js';

/** Time without a byte after which a resumable stream is looked for elsewhere. */
const streamSilenceMilliseconds = 1000;

/** Passes one engine's events on; returns why it broke off, if it did. */
export async function* relayEvents(
  clock: Clock,
  run: GenerationRun,
  answer: PassthroughAnswer,
  {upstream, load}: Place,
  usualGap: ReferenceTime,
): AsyncGenerator<Uint8Array, BrokenAnswerError | undefined> {
  const {promptTokens} = run.generation;
  const tokensPerEvent = run.pool.spec.engine?.tokensPerEvent ?? 1;
  const frames = new EventStreamSplitter();
  const startedAt = clock.now();
  let events = 0;
  try {
    for await (const chunk of answer.body) {
      for (const {bytes, id} of frames.push(chunk)) {
        if (id !== undefined) {
          // A resumed run may repeat what the caller has.
          if (run.lastEvent !== undefined && id <= run.lastEvent) continue;
          run.lastEvent = id;
        }
        events += 1;
        const made = Math.max(events, run.lastEvent ?? 0);
        load.setMemory(promptTokens + made * tokensPerEvent);
        yield bytes;
      }
    }
  } catch (error) {
    if (error instanceof BrokenAnswerError) return error;
    throw error;
  }
  if (frames.pendingBytes > 0)
    return new BrokenAnswerError(upstreamId(upstream.document.name), 'broken');
  const now = clock.now();
  upstream.health.recordSuccess(now);
  if (events > 1) {
    const gap = (now - startedAt) / events;
    upstream.health.recordTime(now, usualGap.observe(gap));
  }
  return undefined;
}

/** Longest silence of a stream between two events. */
export function streamSilenceOf({route}: AdmittedCall, rest: number): number {
  return route.target.resumable === true
    ? Math.min(streamSilenceMilliseconds, rest)
    : rest;
}
