/** Reports the tokens of an answer as they pass. */

import type {CompletionEvent} from '@persimmonwick/coordination';
import type {RequestObservation} from '../operators/request-observer.js';

/** Passes `events` on and tells `observation` of each token. */
export async function* observeTokens(
  events: AsyncIterable<CompletionEvent>,
  observation: RequestObservation | undefined,
): AsyncGenerator<CompletionEvent> {
  let isFirst = true;
  for await (const event of events) {
    if (event.kind === 'token') {
      if (isFirst) observation?.firstToken();
      else observation?.token();
      isFirst = false;
    }
    yield event;
  }
}
