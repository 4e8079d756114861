/** A fake plain service that records each call that it runs. */

import type {FastifyInstance} from 'fastify';
import {createServer, listen} from './http-server.js';

/** One call that ran. */
export interface ServiceRun {
  readonly idempotencyKey: string | undefined;
  readonly path: string;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
}

export class FakeService {
  readonly runs: ServiceRun[] = [];
  /** Time that a call takes. */
  delayMilliseconds = 0;
  /** When true, calls run but their answers never come. */
  losesAnswers = false;
  /** Told of each call when it runs. */
  onRun: (run: ServiceRun) => void = () => {};
  address = '';
  private readonly server: FastifyInstance = createServer();

  constructor() {
    this.server.removeAllContentTypeParsers();
    this.server.addContentTypeParser(
      '*',
      {parseAs: 'string'},
      (_r, body, done) => done(null, body),
    );
    this.server.all('/*', async (request, reply) => {
      const run = {
        idempotencyKey: request.headers['idempotency-key'] as string,
        path: request.url,
        headers: request.headers,
        body: String(request.body ?? ''),
      };
      this.runs.push(run);
      this.onRun(run);
      if (this.losesAnswers) return reply.hijack();
      if (this.delayMilliseconds > 0)
        await new Promise(done => setTimeout(done, this.delayMilliseconds));
      return reply.code(201).send({run: this.runs.length});
    });
  }

  async listen(port = 0): Promise<string> {
    this.address = await listen(this.server, port);
    return this.address;
  }

  async close(): Promise<void> {
    await this.server.close();
  }
}
