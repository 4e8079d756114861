/**
 * Reads the tokens of one attempt from a decode engine: in order, each once,
 * over a new connection when one goes silent or breaks.
 */

import type {Clock} from '../clock.js';
import type {
  DecodeRequest,
  DecodedToken,
  Engine,
  UpstreamError,
} from '../upstreams/engine.js';
import {AbortScope} from './abort-scope.js';

/** How a stream ended. */
export type StreamEnd =
  | {readonly kind: 'complete'}
  | {readonly kind: 'lost'; readonly error: UpstreamError};

/** What reading a stream works with. */
export interface TokenStreamParts {
  readonly clock: Clock;
  readonly engine: Engine;
  /** Time without a token after which a connection is suspect. */
  readonly silenceMilliseconds: number;
  /**
   * Time until which no token is expected, because the engine first makes those
   * again that the caller already has.
   */
  readonly quietUntil: number;
  /** Called at each check of a stream, with the index of its next token. */
  readonly onCheck: (nextOffset: number) => void;
}

/** Connections in a row that may bring no token before the engine is lost. */
const fruitlessConnections = 2;

/** Yields tokens from the request's offset on. */
export async function* readTokens(
  parts: TokenStreamParts,
  request: DecodeRequest,
  signal: AbortSignal,
): AsyncGenerator<DecodedToken, StreamEnd> {
  let next = request.offset;
  let fruitless = 0;
  for (;;) {
    const connection = new Connection(
      parts,
      {...request, offset: next},
      signal,
    );
    const before = next;
    const end = yield* connection.read();
    next = connection.nextOffset;
    if (end.kind === 'complete') return end;
    fruitless = next > before ? 1 : fruitless + 1;
    const isLost = !mayResume(end.error) || fruitless >= fruitlessConnections;
    if (signal.aborted || isLost) return end;
  }
}

function mayResume(error: UpstreamError): boolean {
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

  async *read(): AsyncGenerator<DecodedToken, StreamEnd> {
    const {engine, clock} = this.parts;
    this.waitingSince = clock.now();
    const watch = this.watch();
    try {
      for await (const item of engine.decode(this.request, this.scope.signal)) {
        if (item.isErr) return this.lost(item.error);
        const token = item.value;
        if (!this.isOwn(token) || token.offset > this.nextOffset)
          return this.lost({kind: 'malformed', upstream: engine.id});
        this.waitingSince = clock.now();
        // A token that came before is a copy and is dropped.
        if (token.offset < this.nextOffset) continue;
        this.nextOffset += 1;
        // A caller that reads slowly is no silence of the engine.
        this.waitingSince = undefined;
        yield token;
        if (token.last) return {kind: 'complete'};
        this.waitingSince = clock.now();
      }
      return this.lost({kind: 'broken', upstream: engine.id});
    } finally {
      this.scope.close();
      await watch;
    }
  }

  private isOwn(token: DecodedToken): boolean {
    return (
      token.request === this.request.request &&
      token.attempt === this.request.attempt &&
      token.offset < this.request.maximumTokens
    );
  }

  private lost(error: UpstreamError): StreamEnd {
    const {id} = this.parts.engine;
    if (this.isSilent && !this.parent.aborted)
      return {kind: 'lost', error: {kind: 'silent', upstream: id}};
    return {kind: 'lost', error};
  }

  private async watch(): Promise<void> {
    const {clock, silenceMilliseconds, quietUntil, onCheck} = this.parts;
    const {signal} = this.scope;
    while (!signal.aborted) {
      const now = clock.now();
      const since = this.waitingSince ?? now;
      const suspectAt = Math.max(since + silenceMilliseconds, quietUntil);
      if (now >= suspectAt) {
        this.isSilent = true;
        this.scope.abort();
        return;
      }
      // A pause that rounds to nothing would never end.
      const pause = Math.min(silenceMilliseconds, suspectAt - now);
      await clock.sleep(Math.max(1, pause), signal);
      onCheck(this.nextOffset);
    }
  }
}
