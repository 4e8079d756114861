/** Completion requests and the events that they produce. */

import type {AccountId, RequestId} from '../ids.js';
import type {Route} from '../configuration/configuration.js';
import type {RequestFailure} from './failure.js';

/** Observes the progress of one completion. */
export interface CompletionObserver {
  /** The request left the queue; called once per attempt. */
  dequeued(): void;
  /** Prefilled tokens were discarded before a decode engine imported them. */
  prefillWasted(tokens: number): void;
}

/** A validated request for a completion. */
export interface CompletionRequest {
  readonly request: RequestId;
  readonly account: AccountId;
  readonly route: Route;
  readonly model: string;
  readonly prompt: string;
  /** Estimated until the prefill engine reports the exact number. */
  readonly promptTokens: number;
  readonly maximumTokens: number;
  /** Time on the host's clock after which the caller no longer waits. */
  readonly deadline: number;
  readonly observer?: CompletionObserver;
}

/** An event of a completion. The last event is `finished` or `failed`. */
export type CompletionEvent =
  | {readonly kind: 'token'; readonly offset: number; readonly text: string}
  | {
      readonly kind: 'finished';
      readonly promptTokens: number;
      readonly completionTokens: number;
    }
  | {readonly kind: 'failed'; readonly failure: RequestFailure};
