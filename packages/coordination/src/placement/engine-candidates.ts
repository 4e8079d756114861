/** The engines that a request may be placed on now. */

import type {Clock} from '../clock.js';
import type {Configuration, Upstream} from '../configuration/configuration.js';
import {upstreamsOfPool} from '../configuration/configuration.js';
import {matchesSelector} from '../labels.js';
import type {CompletionRequest} from '../requests/completion.js';
import type {EngineState} from './engine-state.js';
import type {EngineView} from './engine-view.js';

/** Whether any engine pair can serve a request. */
export type Availability = 'open' | 'closed' | 'absent';

/** The two parts of a completion. */
export type EngineRole = 'prefill' | 'decode';

/** What candidates are taken from. */
export interface EngineCandidatesParts {
  readonly clock: Clock;
  readonly configuration: () => Configuration;
  readonly view: EngineView;
}

export class EngineCandidates {
  constructor(private readonly parts: EngineCandidatesParts) {}

  /** Whether engines for `request` exist and have not failed. */
  availability(request: CompletionRequest): Availability {
    const {view, clock} = this.parts;
    const configuration = this.parts.configuration();
    const now = clock.now();
    const roles = (['prefill', 'decode'] as const).map(role =>
      allowedUpstreams(configuration, request, role),
    );
    if (roles.some(upstreams => upstreams.length === 0)) return 'absent';
    const isOpen = (upstream: Upstream) =>
      view.stateOf(upstream).health.isOpen(now);
    return roles.every(upstreams => upstreams.some(isOpen)) ? 'open' : 'closed';
  }

  /** True when a decode engine is still allowed and has not failed. */
  isOpen(request: CompletionRequest, state: EngineState): boolean {
    const allowed = allowedUpstreams(
      this.parts.configuration(),
      request,
      'decode',
    );
    return (
      allowed.some(({name}) => name === state.upstream.name) &&
      state.health.isOpen(this.parts.clock.now())
    );
  }

  /** Engines of a role that selectors allow and that have not failed. */
  open(request: CompletionRequest, role: EngineRole): EngineState[] {
    const {clock, view} = this.parts;
    const configuration = this.parts.configuration();
    const now = clock.now();
    const states = allowedUpstreams(configuration, request, role).map(
      upstream => view.stateOf(upstream),
    );
    if (role === 'prefill')
      for (const state of states) state.isPrefillChoice = true;
    const leastSlowness = Math.min(
      ...states.map(({health}) => health.slowness(now)),
    );
    return states.filter(state =>
      state.health.admits(now, inFlight(state, role), leastSlowness),
    );
  }
}

/** Live upstreams of a role that the route's selectors allow. */
function allowedUpstreams(
  configuration: Configuration,
  {model, route}: CompletionRequest,
  role: EngineRole,
): Upstream[] {
  const {target} = route.spec;
  if (target.kind !== 'model') return [];
  return configuration.pools
    .filter(
      pool =>
        pool.spec.role === role &&
        pool.spec.model === model &&
        matchesSelector(target[role], pool.labels ?? {}),
    )
    .flatMap(pool => upstreamsOfPool(configuration, pool))
    .filter(upstream => upstream.spec.state !== 'leaving');
}

function inFlight(state: EngineState, role: EngineRole): number {
  return role === 'prefill' ? state.ownPrefills : state.ownSlots;
}
