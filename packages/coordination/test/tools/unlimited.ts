/** Request limits of one host whose upstreams name none. */

import {UpstreamRequestLimits, hostId} from '../../src/index.js';
import type {Clock} from '../../src/index.js';

export function createRequestLimits(clock: Clock): UpstreamRequestLimits {
  const self = hostId('host-1');
  const hosts = [self];
  return new UpstreamRequestLimits({
    clock,
    self,
    hosts: () => hosts,
    silentHostCount: () => 0,
    onChange: () => undefined,
    onLearned: () => undefined,
  });
}
