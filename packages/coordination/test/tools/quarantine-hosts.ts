/** Hosts that exchange evidence about prompt parts, without a network. */

import {RequestQuarantine} from '../../src/index.js';
import type {UpstreamDocument, VirtualClock} from '../../src/index.js';
import {partTraitsOf} from '../../src/passthrough/crash-traits.js';

export function engine(name: string, startedAt = 1): UpstreamDocument {
  return {
    kind: 'Upstream',
    name,
    spec: {address: `${name}:80`, failureDomain: 'a', startedAt},
  } as UpstreamDocument;
}
let fingerprintCount = 0;
/** The fingerprint of a request that is no repetition. */
export const newFingerprint = () => `fingerprint-${(fingerprintCount += 1)}`;
let promptCount = 0;
export function prompt(...ids: string[]) {
  return [...ids, `last-${(promptCount += 1)}`].map(id => ({id, tokens: 100}));
}
/** The traits of a prompt with the given parts and a last part of its own. */
export const traits = (...ids: string[]) => partTraitsOf(prompt(...ids));
export class QuarantineHost {
  readonly quarantine: RequestQuarantine;
  readonly changes: string[] = [];
  constructor(clock: VirtualClock) {
    this.quarantine = new RequestQuarantine({
      clock,
      onChange: change => this.changes.push(`${change.kind} ${change.trait}`),
      onLearned: () => undefined,
    });
  }
  lose(name: string, ...ids: string[]): void {
    this.quarantine.recordLoss(engine(name), traits(...ids));
  }
  succeed(...ids: string[]): void {
    this.quarantine.recordSuccess(traits(...ids));
  }
  refuses(...ids: string[]): boolean {
    return this.quarantine.findQuarantined(traits(...ids)) !== undefined;
  }
  hear(other: QuarantineHost): void {
    this.quarantine.recordPeer(other.quarantine.report());
  }
}
export function exchange(hosts: QuarantineHost[]) {
  for (const a of hosts) for (const b of hosts) if (a !== b) b.hear(a);
}
