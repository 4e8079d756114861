/** What controllers report about each request, for metrics. */

import type {
  AccountId,
  RequestFailure,
  Route,
} from '@persimmonwick/coordination';

/** Class of a request, from the service that its route states. */
export type ServiceClass = 'targeted' | 'deferrable' | 'unspecified';

/** Whose request it is and what was promised for it. */
export interface RequestAttributes {
  readonly account: AccountId;
  readonly serviceClass: ServiceClass;
  readonly firstTokenMilliseconds: number | undefined;
  readonly betweenTokensMilliseconds: number | undefined;
}

/** Follows one request from its arrival to its end. */
export interface RequestObservation {
  /** The request left the queue and goes to an upstream. */
  dequeued(): void;
  /** The first token, or the answer of a plain service, is there. */
  firstToken(): void;
  /** Any token after the first. */
  token(): void;
  /** Prompt tokens whose prefill came to nothing. */
  prefillWasted(tokens: number): void;
  /** The caller got the whole answer. */
  finished(): void;
  /**
   * The request was refused or failed. `isInsideRate` says that its account
   * had rate left; without it, the code decides.
   */
  failed(failure: RequestFailure, isInsideRate?: boolean): void;
}

/** Takes the reports of all requests. */
export interface RequestObserver {
  startObservation(
    subject: RequestAttributes,
    arrivedAt: number,
  ): RequestObservation;
  /** A call that failed before its account and route were known. */
  refused(failure: RequestFailure): void;
}

/** The subject of a request of `account` on `route`. */
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
