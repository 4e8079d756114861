/** An in-process simulation of a plain service that runs on any clock. */

import {Result} from 'true-myth';
import {untilAborted} from '../abort.js';
import type {Clock} from '../clock.js';
import type {UpstreamId} from '../ids.js';
import type {ServiceResponse, ServiceCall} from '../requests/service-call.js';
import type {UpstreamError} from '../upstreams/engine.js';

/** A fault of a service. */
export type SimulatedServiceFault = 'none' | 'down' | 'loses-answers';

const createdStatus = 201;

export class SimulatedService {
  fault: SimulatedServiceFault = 'none';
  private executedCalls = 0;

  constructor(
    readonly id: UpstreamId,
    private readonly clock: Clock,
    private readonly delayMilliseconds: number,
    /** Invoked for each call when it is executed. */
    private readonly onExecution: (call: ServiceCall) => void,
  ) {}

  /**
   * Executes `call`. With the fault `loses-answers` the call is executed but
   * never answered, and the result is an error once `signal` is aborted.
   */
  async handle(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceResponse, UpstreamError>> {
    const upstream = this.id;
    if (this.fault === 'down')
      return Result.err({kind: 'unreachable', upstream});
    this.onExecution(call);
    this.executedCalls += 1;
    const body = Buffer.from(
      JSON.stringify({run: this.executedCalls, by: upstream}),
    );
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
