/** A small plain service in one process, on any clock. */

import {Result} from 'true-myth';
import {untilAborted} from '../abort.js';
import type {Clock} from '../clock.js';
import type {UpstreamId} from '../ids.js';
import type {ServiceAnswer, ServiceCall} from '../requests/service-call.js';
import type {UpstreamError} from '../upstreams/engine.js';

/** What is wrong with a service. */
export type ServiceFault = 'none' | 'down' | 'loses-answers';

const createdStatus = 201;

export class SimulatedService {
  fault: ServiceFault = 'none';
  private runs = 0;

  constructor(
    readonly id: UpstreamId,
    private readonly clock: Clock,
    private readonly delayMilliseconds: number,
    /** Told of each call when it runs. */
    private readonly onRun: (call: ServiceCall) => void,
  ) {}

  /** Runs `call`; an answer that is lost never comes. */
  async run(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, UpstreamError>> {
    const upstream = this.id;
    if (this.fault === 'down')
      return Result.err({kind: 'unreachable', upstream});
    this.onRun(call);
    this.runs += 1;
    const body = Buffer.from(JSON.stringify({run: this.runs, by: upstream}));
    await this.clock.sleep(this.delayMilliseconds, signal);
    if (this.fault === 'loses-answers')
      await untilAborted(new Promise<void>(() => {}), signal);
    if (signal.aborted) return Result.err({kind: 'silent', upstream});
    return Result.ok({
      status: createdStatus,
      headers: {'content-type': 'application/json'},
      body: [body],
    });
  }
}
