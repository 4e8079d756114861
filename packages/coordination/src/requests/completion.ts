/** A completion on its way through prefill and decode. */

import type {AccountId, RequestId} from '../ids.js';
import type {Route} from '../configuration/configuration.js';
import type {RequestFailure} from './failure.js';

/** Told of what becomes of one completion before its answer. */
export interface CompletionObserver {
  /** It left the queue and goes to engines; again for each attempt. */
  dequeued(): void;
  /** Prompt tokens were computed and reached no decode engine. */
  prefillWasted(tokens: number): void;
}

/** A checked request for a completion. */
export interface CompletionRequest {
  readonly request: RequestId;
  readonly account: AccountId;
  readonly route: Route;
  readonly model: string;
  readonly prompt: string;
  /** Estimate before the prefill engine has counted. */
  readonly promptTokens: number;
  readonly maximumTokens: number;
  /** Time on the host's clock after which nobody waits for the answer. */
  readonly deadline: number;
  readonly observer?: CompletionObserver;
}

/** What becomes of a completion, in order; the last event is not a token. */
export type CompletionEvent =
  | {readonly kind: 'token'; readonly offset: number; readonly text: string}
  | {
      readonly kind: 'finished';
      readonly promptTokens: number;
      readonly completionTokens: number;
    }
  | {readonly kind: 'failed'; readonly failure: RequestFailure};
