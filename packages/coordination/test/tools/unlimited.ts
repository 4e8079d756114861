/** Parts of one host that nothing is short for. */

import {
  PoolRetryBudget,
  SendGate,
  ShutdownSchedule,
  UpstreamRequestLimits,
  hostId,
} from '../../src/index.js';
import type {Clock, SendGateParts} from '../../src/index.js';

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

/** The send gate of a host that does not stop, before any change of what it knows. */
export function createSendGate(
  clock: Clock,
  upstreams: SendGateParts['upstreams'] = {departureOf: () => undefined},
): SendGate {
  return new SendGate({
    shutdown: new ShutdownSchedule(clock),
    upstreams,
    routes: () => undefined,
    observer: () => undefined,
    onSend: () => undefined,
  });
}

/** A budget that allows `retries` retries if they are few, and more for calls. */
export function createRetryBudget(
  clock: Clock,
  retries = 1000,
): PoolRetryBudget {
  return new PoolRetryBudget({
    clock,
    ratio: 1,
    // One retry may be saved, and a part is a margin.
    extra: (retries + 1.1) / 0.95,
    windowMilliseconds: 10_000,
    share: () => ({kind: 'counted', hosts: 1}),
  });
}
