/** Streamed response body with backpressure and an idle timeout. */

import {
  ChunkQueue,
  InterruptedResponseError,
} from '@persimmonwick/coordination';
import type {HeldBytes, UpstreamId} from '@persimmonwick/coordination';
import type {BodyLimits} from './body-limits.js';
import {PauseAwareTimeout} from './pause-aware-timeout.js';

/** Buffered bytes above which the upstream is paused for a slow reader. */
const pauseThresholdBytes = 64 * 1024;

export interface ResponseBodyParts {
  readonly upstream: UpstreamId;
  readonly pause: () => void;
  readonly resume: () => void;
  /** Closes the connection that carries the response. */
  readonly cancel: () => void;
  /** Longest wait for the next chunk while the upstream is not paused. */
  readonly idleTimeoutMilliseconds: number;
  /** If undefined, the body may have any length and duration. */
  readonly limits?: BodyLimits | undefined;
  /** Counts the buffered bytes. */
  readonly held?: HeldBytes | undefined;
}

/** Buffers chunks from one producer for one consumer. */
export class ResponseBody implements AsyncIterable<Uint8Array> {
  private readonly chunks = new ChunkQueue();
  private receivedBytes = 0;
  private isPaused = false;
  private state: 'open' | 'complete' | InterruptedResponseError = 'open';
  private wakeReader: (() => void) | undefined;
  private readonly idleTimeout: PauseAwareTimeout;
  private readonly totalTimeout: PauseAwareTimeout | undefined;

  constructor(private readonly parts: ResponseBodyParts) {
    this.idleTimeout = new PauseAwareTimeout(
      parts.idleTimeoutMilliseconds,
      () => this.onIdle(),
    );
    if (parts.limits !== undefined)
      this.totalTimeout = new PauseAwareTimeout(
        parts.limits.timeoutMilliseconds,
        () => this.giveUp('silent'),
      );
  }

  push(chunk: Uint8Array): void {
    if (this.state !== 'open') return;
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > (this.parts.limits?.maximumBytes ?? Infinity)) {
      this.giveUp('broken');
      return;
    }
    this.chunks.push(chunk);
    this.parts.held?.add(chunk.length);
    if (this.chunks.length > this.pauseThreshold && !this.isPaused) {
      this.isPaused = true;
      this.parts.pause();
    }
    this.restartIdleTimeout();
    this.wakeReader?.();
  }

  finish(): void {
    this.close('complete');
  }

  fail(reason: InterruptedResponseError['reason']): void {
    this.close(new InterruptedResponseError(this.parts.upstream, reason));
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Uint8Array> {
    try {
      for (;;) {
        const chunk = this.chunks.shift();
        if (chunk !== undefined) {
          this.onChunkRead(chunk);
          yield chunk;
        } else if (this.state === 'complete') return;
        else if (this.state !== 'open') throw this.state;
        else await new Promise<void>(resolve => (this.wakeReader = resolve));
      }
    } finally {
      if (this.state === 'open') {
        this.fail('cancelled');
        this.parts.cancel();
      }
    }
  }

  private get pauseThreshold(): number {
    const allowance = this.parts.held?.allowance ?? Infinity;
    return Math.min(pauseThresholdBytes, allowance);
  }

  private onChunkRead(chunk: Uint8Array): void {
    this.parts.held?.add(-chunk.length);
    if (!this.isPaused || this.chunks.length > pauseThresholdBytes / 2) return;
    this.isPaused = false;
    this.parts.resume();
    this.restartIdleTimeout();
  }

  private close(state: 'complete' | InterruptedResponseError): void {
    if (this.state !== 'open') return;
    this.idleTimeout.clear();
    this.totalTimeout?.clear();
    this.state = state;
    this.wakeReader?.();
  }

  private onIdle(): void {
    // A paused upstream sends nothing. Its resumption restarts the timeout.
    if (this.isPaused) return;
    this.giveUp('silent');
  }

  private giveUp(reason: InterruptedResponseError['reason']): void {
    this.fail(reason);
    this.parts.cancel();
  }

  private restartIdleTimeout(): void {
    if (this.state === 'open') this.idleTimeout.restart();
  }
}
