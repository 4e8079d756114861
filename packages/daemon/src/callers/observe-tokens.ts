/** Metrics for streamed tokens. */

import type {CompletionEvent} from '@persimmonwick/coordination';
import type {RequestObservation} from '../operators/request-observer.js';

/** Yields `events` unchanged and reports each token to `observation`. */
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
