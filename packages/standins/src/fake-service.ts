/** A fake plain service that records the calls it executes. */

import type {FastifyInstance} from 'fastify';
import {createServer, listen} from './http-server.js';

/** A call executed by the service. */
export interface ExecutedCall {
  readonly idempotencyKey: string | undefined;
  readonly path: string;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
}

export class FakeService {
  readonly runs: ExecutedCall[] = [];
  /** Time between the execution of a call and its answer. */
  delayMilliseconds = 0;
  /** Whether the bodies of calls are received and not kept. */
  dropsBodies = false;
  /** Whether calls are executed without ever being answered. */
  losesAnswers = false;
  /** Invoked for each call when it is executed. */
  onExecution: (call: ExecutedCall) => void = () => {};
  address = '';
  private readonly server: FastifyInstance = createServer();

  constructor() {
    this.server.removeAllContentTypeParsers();
    this.server.addContentTypeParser(
      '*',
      {parseAs: 'string'},
      (_request, body, done) => done(null, body),
    );
    this.server.all('/*', async (request, reply) => {
      const call = {
        idempotencyKey: request.headers['idempotency-key'] as string,
        path: request.url,
        headers: request.headers,
        body: this.dropsBodies ? '' : String(request.body ?? ''),
      };
      this.runs.push(call);
      this.onExecution(call);
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
