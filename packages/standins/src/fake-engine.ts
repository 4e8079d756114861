/**
 * A fake model engine over HTTP. It has prefill with a prefix cache and results
 * that expire, KV cache import over a link with limited bandwidth, continuous
 * batching in a fixed number of decode slots, resume, cancel and fault injection.
 */

import {request as sendRequest} from 'undici';
import type {FastifyInstance, FastifyReply} from 'fastify';
import {defaultEngineOptions} from './fake-engine-options.js';
import type {
  EngineObserver,
  FakeEngineFaults,
  FakeEngineOptions,
} from './fake-engine-options.js';
import {FakePrefixCache} from './fake-prefix-cache.js';
import {createServer, listen} from './http-server.js';

interface Attempt {
  readonly request: string;
  readonly attempt: string;
  readonly owner: {host: string; incarnation: string};
  readonly startedAt: number;
  state: 'prefilling' | 'prefilled' | 'imported' | 'decoding';
  tokens: number;
  handle?: string;
  producedTokens: number;
  maximumTokens: number;
  wake: () => void;
}

interface AttemptBody {
  request: string;
  attempt: string;
  owner: {host: string; incarnation: string};
}

const sleep = (milliseconds: number) =>
  new Promise<void>(done => setTimeout(done, milliseconds));

export class FakeEngine {
  readonly faults: FakeEngineFaults = {
    isStalled: false,
    isSilent: false,
    slowFactor: 1,
    reportAgeMilliseconds: 0,
    droppedEventShare: 0,
  };
  /** Accepted orders with their fencing tokens. */
  readonly orders: Array<{order: unknown; fencingNumber: bigint}> = [];
  prefilledTokens = 0;
  observer: EngineObserver | undefined;
  address = '';
  readonly options: FakeEngineOptions;
  private readonly server: FastifyInstance = createServer();
  private readonly attempts = new Map<string, Attempt>();
  private readonly cache: FakePrefixCache;
  /** Time in milliseconds at which all queued prefills are finished. */
  private prefillIdleAt = 0;
  private queuedPrefillTokens = 0;
  private lastFencingToken = 0n;
  private stepFraction = 0;
  private readonly stepTimer: NodeJS.Timeout;

  constructor(options: Partial<FakeEngineOptions> = {}) {
    this.options = {...defaultEngineOptions, ...options};
    const {cacheBlocks, cacheBlockTokens} = this.options;
    this.cache = new FakePrefixCache(
      cacheBlocks,
      cacheBlockTokens,
      () => this.faults.droppedEventShare,
    );
    this.stepTimer = setInterval(
      () => this.step(),
      this.options.decodeStepMilliseconds,
    );
    this.addRoutes();
  }

  /** Number of KV cache tokens held by all attempts. */
  get heldTokens(): number {
    return [...this.attempts.values()].reduce(
      (sum, attempt) => sum + attempt.tokens,
      0,
    );
  }

  async listen(port = 0): Promise<string> {
    this.address = await listen(this.server, port);
    return this.address;
  }

  async close(): Promise<void> {
    clearInterval(this.stepTimer);
    for (const attempt of [...this.attempts.values()]) this.release(attempt);
    await this.server.close();
  }

  private addRoutes(): void {
    this.server.addHook('onRequest', async (_request, reply) => {
      if (this.faults.isSilent) return reply.hijack();
      return undefined;
    });
    this.server.get('/load', () => this.measureLoad());
    this.server.get('/running', () => this.listRunning());
    this.server.get('/cache-events', request =>
      this.cache.eventsAfter(
        Number((request.query as {after?: string}).after ?? 0),
      ),
    );
    this.server.post('/prefill', (request, reply) =>
      this.prefill(
        request.body as AttemptBody & {prompt: string; cacheScope: string},
        reply,
      ),
    );
    this.server.get('/kv/:handle', (request, reply) =>
      this.exportCache((request.params as {handle: string}).handle, reply),
    );
    this.server.post('/kv/import', (request, reply) =>
      this.importCache(
        request.body as AttemptBody & {sourceAddress: string; handle: string},
        reply,
      ),
    );
    this.server.post('/decode', (request, reply) =>
      this.decode(
        request.body as AttemptBody & {maximumTokens: number; offset: number},
        reply,
      ),
    );
    this.server.post('/cancel', request => {
      const attempt = this.attempts.get((request.body as AttemptBody).attempt);
      if (attempt !== undefined) this.release(attempt);
      return {cancelled: attempt !== undefined};
    });
    this.server.post('/orders', (request, reply) =>
      this.handleOrder(
        request.body as {order: unknown; fencingNumber: string},
        reply,
      ),
    );
  }

  private measureLoad() {
    const decoding = [...this.attempts.values()].filter(
      ({state}) => state === 'imported' || state === 'decoding',
    );
    return {
      ageMilliseconds: this.faults.reportAgeMilliseconds,
      queuedPrefillTokens: this.queuedPrefillTokens,
      prefillTokensPerSecond: this.options.prefillTokensPerSecond,
      decodeSlots: this.options.decodeSlots,
      decodeSlotsUsed: decoding.length,
      decodeStepMilliseconds: this.options.decodeStepMilliseconds,
      heldTokens: this.heldTokens,
    };
  }

  private listRunning() {
    return {
      running: [...this.attempts.values()].map(attempt => ({
        request: attempt.request,
        attempt: attempt.attempt,
        owner: attempt.owner,
        state: attempt.state,
        ageMilliseconds: performance.now() - attempt.startedAt,
      })),
    };
  }

  private async prefill(
    body: AttemptBody & {prompt: string; cacheScope: string},
    reply: FastifyReply,
  ): Promise<unknown> {
    const tokens = body.prompt.split(/\s+/).filter(Boolean);
    this.observer?.executed(this, body.request, 'prefill', body);
    const attempt = this.addAttempt(body, 'prefilling', tokens.length);
    const cachedTokens = this.cache.countCachedTokens(
      body.cacheScope,
      body.prompt,
    );
    const uncachedTokens = tokens.length - cachedTokens;
    const prefillMilliseconds =
      (uncachedTokens / this.options.prefillTokensPerSecond) *
      1000 *
      this.faults.slowFactor;
    const now = performance.now();
    this.prefillIdleAt =
      Math.max(now, this.prefillIdleAt) + prefillMilliseconds;
    this.queuedPrefillTokens += uncachedTokens;
    await sleep(this.prefillIdleAt - now);
    this.queuedPrefillTokens -= uncachedTokens;
    while (this.faults.isStalled) await sleep(10);
    if (!this.attempts.has(body.attempt))
      return reply.code(409).send({code: 'cancelled'});
    this.prefilledTokens += uncachedTokens;
    this.cache.store(body.cacheScope, body.prompt);
    attempt.state = 'prefilled';
    attempt.handle = `${body.attempt}-cache`;
    const lifetimeMilliseconds = this.options.prefillResultMilliseconds;
    setTimeout(() => this.release(attempt), lifetimeMilliseconds).unref();
    return {
      handle: attempt.handle,
      promptTokens: tokens.length,
      cachedTokens,
      bytes: tokens.length * this.options.bytesPerToken,
      expiresInMilliseconds: lifetimeMilliseconds,
    };
  }

  private async exportCache(
    handle: string,
    reply: FastifyReply,
  ): Promise<unknown> {
    const attempt = [...this.attempts.values()].find(
      candidate => candidate.handle === handle,
    );
    if (attempt === undefined) return reply.code(404).send({code: 'expired'});
    const bytes = attempt.tokens * this.options.bytesPerToken;
    await sleep((bytes / this.options.linkBytesPerSecond) * 1000);
    this.release(attempt);
    return {tokens: attempt.tokens};
  }

  private async importCache(
    body: AttemptBody & {sourceAddress: string; handle: string},
    reply: FastifyReply,
  ): Promise<unknown> {
    if (this.measureLoad().decodeSlotsUsed >= this.options.decodeSlots)
      return reply.code(429).send({code: 'no-decode-slot'});
    const attempt = this.addAttempt(body, 'imported', 0);
    try {
      const response = await sendRequest(
        `http://${body.sourceAddress}/kv/${body.handle}`,
      );
      const exported = (await response.body.json()) as {tokens?: number};
      if (response.statusCode !== 200 || exported.tokens === undefined) {
        this.release(attempt);
        return await reply.code(410).send({code: 'expired'});
      }
      attempt.tokens = exported.tokens;
      return {};
    } catch {
      this.release(attempt);
      return reply.code(502).send({code: 'source-unreachable'});
    }
  }

  private async decode(
    body: AttemptBody & {maximumTokens: number; offset: number},
    reply: FastifyReply,
  ): Promise<unknown> {
    const attempt = this.attempts.get(body.attempt);
    if (attempt === undefined || attempt.request !== body.request)
      return reply.code(404).send({code: 'unknown-attempt'});
    this.observer?.executed(this, body.request, 'decode', body);
    attempt.state = 'decoding';
    attempt.maximumTokens = body.maximumTokens;
    reply.hijack();
    reply.raw.writeHead(200, {'content-type': 'text/event-stream'});
    for (let offset = body.offset; offset < body.maximumTokens; offset += 1) {
      while (attempt.producedTokens <= offset || this.faults.isSilent) {
        if (!this.attempts.has(body.attempt) || reply.raw.destroyed)
          return reply.raw.destroy();
        await this.waitForStep(attempt);
      }
      const token = {
        request: body.request,
        attempt: body.attempt,
        offset,
        text: `${body.request}:${offset} `,
        last: offset + 1 === body.maximumTokens,
      };
      reply.raw.write(`data: ${JSON.stringify(token)}\n\n`);
    }
    reply.raw.end();
    this.release(attempt);
    return undefined;
  }

  private waitForStep(attempt: Attempt): Promise<void> {
    return new Promise(resolve => {
      attempt.wake = resolve;
      setTimeout(resolve, 100).unref();
    });
  }

  private handleOrder(
    body: {order: unknown; fencingNumber: string},
    reply: FastifyReply,
  ): unknown {
    const fencingToken = BigInt(body.fencingNumber);
    if (this.options.checksFencing && fencingToken < this.lastFencingToken)
      return reply.code(409).send({code: 'old-fencing-number'});
    this.lastFencingToken = fencingToken;
    this.orders.push({order: body.order, fencingNumber: fencingToken});
    return {};
  }

  private addAttempt(
    body: AttemptBody,
    state: Attempt['state'],
    tokens: number,
  ): Attempt {
    const attempt: Attempt = {
      request: body.request,
      attempt: body.attempt,
      owner: body.owner,
      startedAt: performance.now(),
      state,
      tokens,
      producedTokens: 0,
      maximumTokens: 0,
      wake: () => {},
    };
    this.attempts.set(body.attempt, attempt);
    this.observer?.memoryHeld(this, body.request, body.attempt);
    return attempt;
  }

  private release(attempt: Attempt): void {
    if (this.attempts.get(attempt.attempt) === attempt) {
      this.attempts.delete(attempt.attempt);
      this.observer?.memoryFreed(this, attempt.attempt);
    }
    attempt.wake();
  }

  private step(): void {
    if (this.faults.isStalled) return;
    this.stepFraction += 1 / this.faults.slowFactor;
    if (this.stepFraction < 1) return;
    this.stepFraction -= 1;
    for (const attempt of this.attempts.values()) {
      if (attempt.state !== 'decoding') continue;
      if (attempt.producedTokens >= attempt.maximumTokens) continue;
      attempt.producedTokens += 1;
      attempt.tokens += 1;
      attempt.wake();
    }
  }
}
