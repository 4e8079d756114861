/** Observes engines whose connections fail during generations. */

import type {GenerationState} from './generation-run.js';
import type {PassthroughParts} from './passthrough-parts.js';
import type {TrackedUpstream} from './upstream-table.js';

export function reportLostConnection(
  {observer}: PassthroughParts,
  {call, generation, attemptEvents}: GenerationState,
  {document}: TrackedUpstream,
): void {
  observer(call.id, {
    kind: 'connection-lost',
    upstream: document.name,
    events: attemptEvents,
    parts: generation.promptParts
      .slice(0, -1)
      .map(({id}) => id)
      .join(' '),
  });
}
