/** Connections to engines and plain services. */

import type {Clock} from '@persimmonwick/coordination';
import {UpstreamConnections} from '../connections/upstream-connections.js';

const limits = {
  maximumIdleConnections: 256,
  connectTimeoutMilliseconds: 10_000,
};

export function createConnections(clock: Clock): UpstreamConnections {
  return new UpstreamConnections(clock, limits);
}
