/** Dependencies of the HTTP server for operators. */

import type {
  Configuration,
  Host,
  PeerIdentity,
} from '@persimmonwick/coordination';
import type {DrainGate} from '../callers/drain-gate.js';
import type {MetricsPage} from './prometheus.js';
import type {RequestMetrics} from './request-metrics.js';

/** Reported state of a peer. */
export interface PeerStatus {
  readonly host: string;
  readonly failureDomain: string;
  /** `live`, `leaving`, `suspect`, `dead` or `unknown`. */
  readonly state: string;
  readonly incarnation?: string;
}

/** Reported state of an upstream. */
export interface UpstreamStatus {
  readonly upstream: string;
  readonly state: string;
  readonly details: Readonly<Record<string, string | number | boolean>>;
}

export interface OperatorDependencies {
  readonly self: PeerIdentity;
  readonly failureDomain: string;
  readonly host: Pick<Host, 'isReady'>;
  readonly configuration: () => Configuration;
  readonly gate: DrainGate;
  readonly metrics: RequestMetrics;
  readonly metricsPage: MetricsPage;
  /** Starts draining. The process keeps running until it receives a signal. */
  readonly startDraining: () => void;
  /** Without it, no peers are reported. */
  readonly peers?: () => readonly PeerStatus[];
  /** Without it, no upstreams are reported. */
  readonly upstreams?: () => readonly UpstreamStatus[];
}

/** Token under which Nest injects the dependencies. */
export const operatorDependenciesToken = Symbol('OperatorDependencies');

/** Reports whether the host accepts requests. */
export function isReady(
  dependencies: Pick<OperatorDependencies, 'host' | 'gate'>,
): boolean {
  return dependencies.host.isReady && !dependencies.gate.isDraining;
}
