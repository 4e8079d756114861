/** Selects the engines that are currently available for a request. */

import type {Clock} from '../clock.js';
import type {Configuration, Upstream} from '../configuration/configuration.js';
import {upstreamsOfPool} from '../configuration/configuration.js';
import {matchesSelector} from '../labels.js';
import {isServed} from '../passthrough/stream-continuation.js';
import type {CompletionRequest} from '../requests/completion.js';
import type {EngineState} from './engine-state.js';
import type {EngineView} from './engine-view.js';

/**
 * Whether engines of both roles can serve a request: `unavailable` when all
 * engines of a role are ejected, `absent` when the route's selectors allow no
 * engine of a role, not counting leaving ones.
 */
export type Availability = 'available' | 'unavailable' | 'absent';

/** The two phases of a completion, which different engines run. */
export type EngineRole = 'prefill' | 'decode';

/** A request that may have begun at an engine of one software version. */
export interface PlacedRequest extends CompletionRequest {
  /**
   * The only version of decode engines that may go on with the request; undefined
   * before its first token.
   */
  readonly requiredVersion?: string;
}

/** Dependencies of the candidate selection. */
export interface EngineCandidatesParts {
  readonly clock: Clock;
  readonly configuration: () => Configuration;
  readonly view: EngineView;
}

export class EngineCandidates {
  constructor(private readonly parts: EngineCandidatesParts) {}

  /** Whether allowed engines for `request` exist and are not ejected. */
  availability(request: PlacedRequest): Availability {
    const {view, clock} = this.parts;
    const configuration = this.parts.configuration();
    const now = clock.now();
    const roles = (['prefill', 'decode'] as const).map(role =>
      allowedUpstreams(configuration, request, role),
    );
    if (roles.some(upstreams => upstreams.length === 0)) return 'absent';
    const isAvailable = (upstream: Upstream) =>
      view.stateOf(upstream).health.isAvailable(now);
    return roles.every(upstreams => upstreams.some(isAvailable))
      ? 'available'
      : 'unavailable';
  }

  /**
   * True when the selectors still allow a decode engine and it is not ejected.
   */
  isDecodeAvailable(request: PlacedRequest, state: EngineState): boolean {
    const allowed = allowedUpstreams(
      this.parts.configuration(),
      request,
      'decode',
    );
    return (
      allowed.some(({name}) => name === state.upstream.name) &&
      state.health.isAvailable(this.parts.clock.now())
    );
  }

  /**
   * Engines of a role that the selectors allow and that admit a further
   * request. Also starts the polling of cache events of prefill engines.
   */
  admittingEngines(request: PlacedRequest, role: EngineRole): EngineState[] {
    const {clock, view} = this.parts;
    const configuration = this.parts.configuration();
    const now = clock.now();
    const states = allowedUpstreams(configuration, request, role).map(
      upstream => view.stateOf(upstream),
    );
    if (role === 'prefill')
      for (const state of states) state.hasBeenPrefillCandidate = true;
    const lowestSlowness = Math.min(
      ...states.map(({health}) => health.slowness(now)),
    );
    return states.filter(state =>
      state.health.canAdmit(now, inFlight(state, role), lowestSlowness),
    );
  }
}

/**
 * Upstreams of a role that the route's selectors allow, except leaving ones.
 */
function allowedUpstreams(
  configuration: Configuration,
  {model, route, requiredVersion}: PlacedRequest,
  role: EngineRole,
): Upstream[] {
  const {target} = route.spec;
  if (target.kind !== 'model') return [];
  const upstreams = configuration.pools
    .filter(
      pool =>
        pool.spec.role === role &&
        pool.spec.model === model &&
        matchesSelector(target[role], pool.labels ?? {}),
    )
    .flatMap(pool => upstreamsOfPool(configuration, pool))
    .filter(upstream => upstream.spec.state !== 'leaving');
  // Prefill engines write nothing into a stream.
  if (requiredVersion === undefined || role === 'prefill') return upstreams;
  const versions = new Set(upstreams.map(softwareVersionOf));
  return isServed(requiredVersion, versions)
    ? upstreams.filter(each => softwareVersionOf(each) === requiredVersion)
    : [];
}

function softwareVersionOf({spec}: Upstream): string {
  return spec.softwareVersion ?? '';
}

function inFlight(state: EngineState, role: EngineRole): number {
  return role === 'prefill' ? state.reservedPrefills : state.reservedSlots;
}
