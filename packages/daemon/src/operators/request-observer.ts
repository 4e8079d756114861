/** Interface through which controllers report requests to the metrics. */

import type {
  AccountId,
  RequestFailure,
  Route,
} from '@persimmonwick/coordination';

/** Class of a request, taken from `service` of its route. */
export type RequestClass = 'targeted' | 'deferrable' | 'unspecified';

/** Account, class and latency targets of a request. */
export interface RequestAttributes {
  readonly account: AccountId;
  readonly serviceClass: RequestClass;
  readonly firstTokenMilliseconds: number | undefined;
  readonly betweenTokensMilliseconds: number | undefined;
}

/** Receives the events of one request from its arrival to its end. */
export interface RequestObservation {
  /** The request left the queue and is sent to an upstream. */
  dequeued(): void;
  /** The first token, or the answer of a plain service, arrived. */
  firstToken(): void;
  /** A token after the first one arrived. */
  token(): void;
  /** The prefill result of `tokens` prompt tokens was discarded. */
  prefillWasted(tokens: number): void;
  /** The caller received the complete answer. */
  finished(): void;
  /**
   * The request was refused or failed. `isInsideRate` states whether its
   * account was within its rate; by default this follows from the failure code.
   */
  failed(failure: RequestFailure, isInsideRate?: boolean): void;
}

/** Receives the events of all requests. */
export interface RequestObserver {
  startObservation(
    attributes: RequestAttributes,
    arrivedAt: number,
  ): RequestObservation;
  /** A request failed before its account and route were known. */
  refused(failure: RequestFailure): void;
}

/** Returns the attributes of a request of `account` on `route`. */
export function requestAttributesOf(
  account: AccountId,
  route: Route,
): RequestAttributes {
  const {service} = route.spec;
  const targets = service?.kind === 'targeted' ? service : undefined;
  return {
    account,
    serviceClass: service?.kind ?? 'unspecified',
    firstTokenMilliseconds: targets?.firstTokenMilliseconds,
    betweenTokensMilliseconds: targets?.betweenTokensMilliseconds,
  };
}
