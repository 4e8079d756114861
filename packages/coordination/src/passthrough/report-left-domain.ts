import type {UpstreamDocument} from '../generated/documents.js';
import type {CallEvent} from './call-events.js';
import type {RoutedCall} from './call.js';
import type {DomainDecision} from './domain-router.js';
import type {PassthroughParts} from './passthrough-parts.js';

type DomainLeft = Extract<CallEvent, {kind: 'domain-left'}>;

/** Reports work that goes to an upstream outside of `home`. */
export function reportLeftDomain(
  {observer}: Pick<PassthroughParts, 'observer'>,
  call: RoutedCall,
  decision: DomainDecision,
  {spec: {failureDomain: domain}}: UpstreamDocument,
  {
    purpose,
    home,
    bytes,
  }: Pick<DomainLeft, 'purpose' | 'bytes'> & {readonly home: string},
): void {
  if (domain === home) return;
  const reason =
    decision.kind === 'leave' && decision.domain === domain
      ? decision.reason
      : 'no-upstream';
  observer(call.id, {kind: 'domain-left', purpose, domain, reason, bytes});
}
