/** What the operators' server shows and does. */

import type {
  Configuration,
  Host,
  PeerIdentity,
} from '@persimmonwick/coordination';
import type {DrainGate} from '../callers/drain-gate.js';
import type {MetricsPage} from './prometheus.js';
import type {RequestMetrics} from './request-metrics.js';

/** What is known of a peer. */
export interface PeerStatus {
  readonly host: string;
  readonly failureDomain: string;
  readonly state: string;
  readonly incarnation?: string;
}

/** What is known of an upstream. */
export interface UpstreamStatus {
  readonly upstream: string;
  readonly state: string;
  readonly details: Readonly<Record<string, string | number | boolean>>;
}

export interface OperatorParts {
  readonly self: PeerIdentity;
  readonly failureDomain: string;
  readonly host: Pick<Host, 'isReady'>;
  readonly configuration: () => Configuration;
  readonly gate: DrainGate;
  readonly metrics: RequestMetrics;
  readonly metricsPage: MetricsPage;
  /** Starts draining; the process goes on until it gets a signal. */
  readonly startDraining: () => void;
  readonly peers?: () => readonly PeerStatus[];
  readonly upstreams?: () => readonly UpstreamStatus[];
}

/** Token under which Nest injects the parts. */
export const operatorPartsToken = Symbol('OperatorParts');

/** True when the host takes requests. */
export function isReady(parts: Pick<OperatorParts, 'host' | 'gate'>): boolean {
  return parts.host.isReady && !parts.gate.isDraining;
}
