/** How slow the candidates of a choice are, compared with each other. */

import type {WorkKind} from '../decisions/upstream-speeds.js';
import type {PassthroughParts} from './passthrough-parts.js';
import type {TrackedUpstream} from './upstream-table.js';

/**
 * Returns the time of each candidate for the same work, as a multiple of the
 * typical time. Without shared speeds this is what this host alone observed.
 */
export function slownessAmong(
  candidates: readonly TrackedUpstream[],
  kind: WorkKind,
  {speeds}: Pick<PassthroughParts, 'speeds'>,
  now: number,
): (upstream: TrackedUpstream) => number {
  if (speeds === undefined) return ({health}) => health.slowness(now);
  const names = candidates.map(({document}) => document.name);
  const factors = speeds.lastingFactors(names, kind);
  return ({document: {name}}) =>
    (factors.get(name) ?? 1) * speeds.spellFactor(name, kind, now);
}
