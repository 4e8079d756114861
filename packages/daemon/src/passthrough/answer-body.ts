/** The body of an answer as it arrives, with backpressure and time limits. */

import {BrokenAnswerError} from '@persimmonwick/coordination';
import type {UpstreamId} from '@persimmonwick/coordination';

/** Bytes that may wait for a slow reader before the upstream is paused. */
const pauseBytes = 64 * 1024;

export interface AnswerBodyParts {
  readonly upstream: UpstreamId;
  readonly pause: () => void;
  readonly resume: () => void;
  /** Closes the connection under the answer. */
  readonly cancel: () => void;
  /** Longest time between two parts. */
  readonly silenceMilliseconds: number;
}

/** Written by one sender and read by one reader. */
export class AnswerBody implements AsyncIterable<Uint8Array> {
  private readonly chunks: Uint8Array[] = [];
  private waitingBytes = 0;
  private isPaused = false;
  private end: 'open' | 'whole' | BrokenAnswerError = 'open';
  private wake: (() => void) | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: AnswerBodyParts) {
    this.watchSilence();
  }

  push(chunk: Uint8Array): void {
    this.chunks.push(chunk);
    this.waitingBytes += chunk.length;
    if (this.waitingBytes > pauseBytes && !this.isPaused) {
      this.isPaused = true;
      this.parts.pause();
    }
    this.watchSilence();
    this.wake?.();
  }

  finish(): void {
    this.close('whole');
  }

  fail(reason: BrokenAnswerError['reason']): void {
    this.close(new BrokenAnswerError(this.parts.upstream, reason));
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Uint8Array> {
    try {
      for (;;) {
        const chunk = this.chunks.shift();
        if (chunk !== undefined) {
          this.took(chunk);
          yield chunk;
        } else if (this.end === 'whole') return;
        else if (this.end !== 'open') throw this.end;
        else await new Promise<void>(resolve => (this.wake = resolve));
      }
    } finally {
      if (this.end === 'open') {
        this.fail('cancelled');
        this.parts.cancel();
      }
    }
  }

  private took(chunk: Uint8Array): void {
    this.waitingBytes -= chunk.length;
    if (!this.isPaused || this.waitingBytes > pauseBytes / 2) return;
    this.isPaused = false;
    this.parts.resume();
  }

  private close(end: 'whole' | BrokenAnswerError): void {
    if (this.end !== 'open') return;
    clearTimeout(this.timer);
    this.end = end;
    this.wake?.();
  }

  private watchSilence(): void {
    if (this.timer !== undefined) {
      this.timer.refresh();
      return;
    }
    this.timer = setTimeout(() => {
      if (this.isPaused) return;
      this.fail('silent');
      this.parts.cancel();
    }, this.parts.silenceMilliseconds);
  }
}
