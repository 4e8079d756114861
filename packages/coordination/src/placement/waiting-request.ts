/** A queued request that waits for engines. */

import type {Result} from 'true-myth';
import type {Configuration} from '../configuration/configuration.js';
import type {CompletionRequest} from '../requests/completion.js';
import type {RequestFailure} from '../requests/failure.js';
import type {QueueItem} from './fair-queue.js';
import type {Placement} from './placement.js';
import type {PlacementDemand} from './placer.js';

/** The reserved engines of a request, or why none were reserved. */
export type Admission = Result<Placement, RequestFailure>;

/** A request in the fair queue or in the list of retries. */
export interface WaitingRequest extends QueueItem {
  readonly demand: PlacementDemand;
  /**
   * Time by which the first token is due; undefined without a latency target.
   */
  readonly firstTokenDeadline: number | undefined;
  readonly isRetry: boolean;
  readonly settle: (admission: Admission) => void;
}

/** State of a request when it enters the queue. */
export interface AdmissionContext {
  readonly arrivedAt: number;
  /** Number of tokens that the caller has already received. */
  readonly deliveredTokens: number;
  readonly isRetry: boolean;
}

/**
 * Creates the queue item of a request. Retries have no first-token deadline.
 */
export function createWaitingRequest(
  demand: PlacementDemand,
  context: AdmissionContext,
  configuration: Configuration,
  settle: WaitingRequest['settle'],
): WaitingRequest {
  const {request} = demand;
  const {service} = request.route.spec;
  const hasFirstTokenTarget = service?.kind === 'targeted' && !context.isRetry;
  return {
    demand,
    account: request.account,
    serviceClass: service?.kind ?? 'targeted',
    costTokens: Math.max(1, request.promptTokens + request.maximumTokens),
    weight: weightOf(request, configuration),
    firstTokenDeadline: hasFirstTokenTarget
      ? context.arrivedAt + service.firstTokenMilliseconds
      : undefined,
    isRetry: context.isRetry,
    settle,
  };
}

function weightOf(
  {account}: CompletionRequest,
  {accounts}: Configuration,
): number {
  return Math.max(minimumWeight, accounts.get(account)?.spec.weight ?? 1);
}

/** Keeps the weight, which is used as a divisor, positive. */
const minimumWeight = 0.01;
