/** A request that waits for engines. */

import type {Result} from 'true-myth';
import type {Configuration} from '../configuration/configuration.js';
import type {CompletionRequest} from '../requests/completion.js';
import type {RequestFailure} from '../requests/failure.js';
import type {QueueItem} from './fair-queue.js';
import type {Placement} from './placement.js';
import type {PlacementDemand} from './placer.js';

/** The engines of a request, or why it gets none. */
export type Admission = Result<Placement, RequestFailure>;

/** One entry of the queue. */
export interface WaitingRequest extends QueueItem {
  readonly demand: PlacementDemand;
  /** Time by which the first token is due; undefined without a target. */
  readonly firstTokenBy: number | undefined;
  readonly isRetry: boolean;
  readonly settle: (admission: Admission) => void;
}

/** Says how a request enters the queue. */
export interface AdmissionTerms {
  readonly arrivedAt: number;
  /** Tokens that the caller already has. */
  readonly delivered: number;
  readonly isRetry: boolean;
}

/** Says what the queue has to know of a request. */
export function describeWaiting(
  demand: PlacementDemand,
  terms: AdmissionTerms,
  configuration: Configuration,
  settle: WaitingRequest['settle'],
): WaitingRequest {
  const {request} = demand;
  const {service} = request.route.spec;
  const hasTarget = service?.kind === 'targeted' && !terms.isRetry;
  return {
    demand,
    account: request.account,
    service: service?.kind ?? 'targeted',
    costTokens: Math.max(1, request.promptTokens + request.maximumTokens),
    weight: weightOf(request, configuration),
    firstTokenBy: hasTarget
      ? terms.arrivedAt + service.firstTokenMilliseconds
      : undefined,
    isRetry: terms.isRetry,
    settle,
  };
}

function weightOf(
  {account}: CompletionRequest,
  {accounts}: Configuration,
): number {
  return Math.max(leastWeight, accounts.get(account)?.spec.weight ?? 1);
}

const leastWeight = 0.01;
