/**
 * Reads the tokens of one attempt from a decode engine, in order and each once.
 * Reconnects when a connection goes silent or breaks. Silence alone never ends
 * the stream, also not if its engine can't be reached then, because the engine keeps
 * the attempt; its consumer aborts it.
 */

import type {Clock} from '../clock.js';
import type {
  DecodeRequest,
  DecodedToken,
  Engine,
  UpstreamError,
} from '../upstreams/engine.js';
import {AbortScope, lateTimerMilliseconds} from './abort-scope.js';

/** Outcome of a stream. */
export type StreamResult =
  | {readonly kind: 'complete'}
  | {readonly kind: 'failed'; readonly error: UpstreamError};

/** Dependencies and options of a token stream. */
export interface TokenStreamParts {
  readonly clock: Clock;
  readonly engine: Engine;
  /**
   * Time without a token after which a connection counts as silent. It grows
   * while connections in a row deliver nothing.
   */
  readonly silenceMilliseconds: number;
  /**
   * Time before which a missing token does not count as silence. A new engine
   * first regenerates the tokens that the caller has already received.
   */
  readonly tokensExpectedAt: number;
  /** Called at each silence check, with the index of the next token. */
  readonly onCheck: (nextOffset: number) => void;
  /** Called for a token that was already received. */
  readonly onDuplicate?: () => void;
  /**
   * Called when a silence check shows that this process stood still, so that
   * the time without a token counts anew.
   */
  readonly onProcessPause?: () => void;
}

/**
 * Consecutive failed connections at the same offset after which one that
 * breaks ends the stream. The connection that delivered the last token counts
 * as the first.
 */
const maximumFailedConnections = 2;

/**
 * Upper bound of the factor by which the time until a connection counts as
 * silent grows. It bounds the connections that wait at an engine that stands
 * still.
 */
const maximumSilenceFactor = 4;

/** Yields tokens starting at the request's offset. */
export async function* readTokens(
  parts: TokenStreamParts,
  request: DecodeRequest,
  signal: AbortSignal,
): AsyncGenerator<DecodedToken, StreamResult> {
  let nextOffset = request.offset;
  let failedConnections = 0;
  let hasBeenSilent = false;
  for (;;) {
    const connection = new Connection(
      {
        ...parts,
        silenceMilliseconds:
          parts.silenceMilliseconds * silenceFactorAfter(failedConnections),
      },
      {...request, offset: nextOffset},
      signal,
    );
    const previousOffset = nextOffset;
    const result = yield* connection.read();
    nextOffset = connection.nextOffset;
    if (result.kind === 'complete') return result;
    const hasProgress = nextOffset > previousOffset;
    const {error} = result;
    failedConnections = hasProgress ? 1 : failedConnections + 1;
    hasBeenSilent = error.kind === 'silent' || (hasBeenSilent && !hasProgress);
    const isLinkLost = hasBeenSilent && error.kind === 'unreachable';
    const canReconnect =
      error.kind === 'silent' || failedConnections < maximumFailedConnections;
    const hasFailed = !isLinkLost && (!canResume(error) || !canReconnect);
    if (signal.aborted || hasFailed) return result;
    if (isLinkLost) await parts.clock.sleep(parts.silenceMilliseconds, signal);
  }
}

/** The first two connections at an offset get the same time. */
function silenceFactorAfter(failedConnections: number): number {
  const doublings = Math.max(0, failedConnections - 1);
  return Math.min(maximumSilenceFactor, 2 ** doublings);
}

function canResume(error: UpstreamError): boolean {
  switch (error.kind) {
    case 'silent':
    case 'broken':
    case 'malformed':
      return true;
    case 'refused':
    case 'unreachable':
    case 'cancelled':
      return false;
  }
}

/** One connection of a stream. */
class Connection {
  nextOffset: number;
  private readonly scope: AbortScope;
  private waitingSince: number | undefined;
  private isSilent = false;

  constructor(
    private readonly parts: TokenStreamParts,
    private readonly request: DecodeRequest,
    private readonly parent: AbortSignal,
  ) {
    this.nextOffset = request.offset;
    this.scope = new AbortScope(parent);
  }

  async *read(): AsyncGenerator<DecodedToken, StreamResult> {
    const {engine, clock} = this.parts;
    this.waitingSince = clock.now();
    const monitoring = this.monitorSilence();
    try {
      for await (const item of engine.decode(this.request, this.scope.signal)) {
        if (item.isErr) return this.failureOf(item.error);
        const token = item.value;
        if (!this.belongsToAttempt(token) || token.offset > this.nextOffset)
          return this.failureOf({kind: 'malformed', upstream: engine.id});
        this.waitingSince = clock.now();
        // A token that was already received is a duplicate.
        if (token.offset < this.nextOffset) {
          this.parts.onDuplicate?.();
          continue;
        }
        this.nextOffset += 1;
        // While the consumer processes the token, the engine is not silent.
        this.waitingSince = undefined;
        yield token;
        if (token.last) return {kind: 'complete'};
        this.waitingSince = clock.now();
      }
      return this.failureOf({kind: 'broken', upstream: engine.id});
    } finally {
      this.scope.close();
      await monitoring;
    }
  }

  private belongsToAttempt(token: DecodedToken): boolean {
    return (
      token.request === this.request.request &&
      token.attempt === this.request.attempt &&
      token.offset < this.request.maximumTokens
    );
  }

  private failureOf(error: UpstreamError): StreamResult {
    const {id} = this.parts.engine;
    if (this.isSilent && !this.parent.aborted)
      return {kind: 'failed', error: {kind: 'silent', upstream: id}};
    return {kind: 'failed', error};
  }

  private async monitorSilence(): Promise<void> {
    const {clock, silenceMilliseconds, tokensExpectedAt, onCheck} = this.parts;
    const {signal} = this.scope;
    while (!signal.aborted) {
      const now = clock.now();
      const since = this.waitingSince ?? now;
      const silentAt = Math.max(since + silenceMilliseconds, tokensExpectedAt);
      if (now >= silentAt) {
        this.isSilent = true;
        this.scope.abort();
        return;
      }
      // Sleeping for less than 1 ms could round to 0 and loop forever.
      const checkIntervalMilliseconds = Math.min(
        silenceMilliseconds,
        silentAt - now,
      );
      const sleepMilliseconds = Math.max(1, checkIntervalMilliseconds);
      await clock.sleep(sleepMilliseconds, signal);
      // Tokens that arrived while this process stood still are read next.
      const isLate =
        clock.now() - now - sleepMilliseconds > lateTimerMilliseconds;
      if (isLate && this.waitingSince !== undefined) {
        this.waitingSince = clock.now();
        this.parts.onProcessPause?.();
      }
      onCheck(this.nextOffset);
    }
  }
}
