/**
 * Decides which share of the work of a failure domain goes to other domains. Load
 * pattern: the work of each domain swings while its upstreams stay the same, or
 * the upstreams of a domain are slower than others, or fail; traffic between
 * domains costs time and money.
 *
 * The decision weighs the time that a call takes here with that there. Each time
 * counts with what one more call adds to the waits of all others, so the callers
 * of the domain entered count as much as those of the domain left.
 */

/** A failure domain with its work, in any unit, and its upstreams. */
export interface DomainState {
  readonly domain: string;
  /** Work a second of its hosts; undefined if it is not known. */
  readonly demand: number | undefined;
  /** Work a second that its upstreams can do; 0 if none takes calls. */
  readonly capacity: number;
  /**
   * Capacity with which others may reckon, lower while a queue grows. Such a queue
   * may come from a spell, which is over before work of the domain itself moves.
   */
  readonly capacityForOthers: number;
  /** Calls that its upstreams handle at a time. */
  readonly servers: number;
  /** Time of a call that does not wait. */
  readonly callMilliseconds: number;
}

export type LeavingReason = 'failing' | 'capacity' | 'speed';

export type DomainShares =
  | {readonly kind: 'stay'}
  | {
      readonly kind: 'leave';
      readonly reason: LeavingReason;
      /** Share of the work that goes to each other domain. */
      readonly shares: ReadonlyMap<string, number>;
    };

export interface SharePlanInput {
  readonly states: readonly DomainState[];
  /** Cost of the link for one call, in milliseconds. */
  readonly linkMilliseconds: number;
  /** Shares in use, by the domain left. */
  readonly current: ReadonlyMap<string, DomainShares>;
}

/**
 * Use up to which a domain takes the work of others. Above it, waits grow with
 * each burst.
 */
const maximumUseByOthers = 0.93;

/** Ratio of the times of two domains that is no noise of the measured times. */
const muchSlowerRatio = 1.3;

/** Use above which a domain is short of capacity. */
const shortageUse = 0.95;

/**
 * Gain for which a domain begins to send work out, as a fraction of the time of a
 * call. Noise of the reports, 5% of the use, is worth a third of a call at a use of
 * 0.7.
 */
const minimumGainFraction = 0.6;

/** Gain below which it ends. Lower, so that noise does not start it again. */
const remainingGainFraction = 0.2;

/** Steps in which the work of all domains is distributed. */
const steps = 250;

/** Use up to which a queue is in balance; above, it grows with time. */
const balancedUse = 0.95;

/**
 * Wait that work beyond the balanced use adds, for each unit of use. A wait of the
 * time between two decisions of the fleet, about 2 s.
 */
const overloadMilliseconds = 2000;

/** Shares below this are not worth a decision. */
const minimumShare = 0.04;

/** Plans the shares of all domains, so that all hosts plan alike. */
export function planShares({
  states,
  linkMilliseconds,
  current,
}: SharePlanInput): Map<string, DomainShares> {
  const loads = states.map(state => ({
    state,
    placed: state.demand ?? 0,
    /** Own work that has not been sent out. */
    kept: state.demand ?? 0,
    sent: new Map<string, number>(),
  }));
  type Placement = (typeof loads)[number];
  const total = loads.reduce((sum, {kept}) => sum + kept, 0);
  const step = total / steps;
  const serving = states.filter(({capacity}) => capacity > 0);
  const typicalMilliseconds =
    serving.reduce((sum, each) => sum + each.callMilliseconds, 0) /
    serving.length;
  const gainOf = (from: Placement, to: Placement) =>
    marginalMilliseconds(from.state, from.placed - step, step) -
    marginalMilliseconds(to.state, to.placed, step) -
    linkMilliseconds;
  const canTake = ({state, placed}: Placement) =>
    state.demand !== undefined &&
    placed + step <= maximumUseByOthers * state.capacityForOthers;
  const isSending = (from: Placement, to: Placement) => {
    const shares = current.get(from.state.domain);
    return shares?.kind === 'leave' && shares.shares.has(to.state.domain);
  };
  for (let count = 0; count < 2 * steps && step > 0; count += 1) {
    let best: {from: Placement; to: Placement; gain: number} | undefined;
    for (const from of loads) {
      if (from.state.capacity <= 0 || from.kept < step) continue;
      for (const to of loads) {
        if (to === from || !canTake(to)) continue;
        const gain = gainOf(from, to);
        const isWorth = isSending(from, to)
          ? gain >= remainingGainFraction * typicalMilliseconds
          : gain >= minimumGainFraction * typicalMilliseconds &&
            (isShort(from.state) || isMuchSlower(from.state, to.state));
        if (isWorth && gain > (best?.gain ?? 0)) best = {from, to, gain};
      }
    }
    if (best === undefined) break;
    const {from, to} = best;
    from.placed -= step;
    from.kept -= step;
    to.placed += step;
    const domain = to.state.domain;
    from.sent.set(domain, (from.sent.get(domain) ?? 0) + step);
  }
  return new Map(
    loads.map(({state, sent}) => [
      state.domain,
      state.capacity > 0 ? sharesOf(state, sent) : failingShares(state, loads),
    ]),
  );
}

function sharesOf(
  state: DomainState,
  sent: ReadonlyMap<string, number>,
): DomainShares {
  const {demand} = state;
  if (demand === undefined || demand <= 0) return {kind: 'stay'};
  const shares = new Map(
    [...sent]
      .map(([domain, work]) => [domain, work / demand] as const)
      .filter(([, share]) => share >= minimumShare),
  );
  if (shares.size === 0) return {kind: 'stay'};
  const reason = isShort(state) ? 'capacity' : 'speed';
  return {kind: 'leave', reason, shares};
}

function isShort({demand = 0, capacity}: DomainState): boolean {
  return demand > shortageUse * capacity;
}

function isMuchSlower(left: DomainState, right: DomainState): boolean {
  return left.callMilliseconds > muchSlowerRatio * right.callMilliseconds;
}

/**
 * All work leaves a domain without upstreams, most of it for where most is spare.
 * A domain of which nothing is known is better than none.
 */
function failingShares(
  {domain: left}: DomainState,
  loads: readonly {readonly state: DomainState; readonly placed: number}[],
): DomainShares {
  const spares = loads
    .filter(({state}) => state.domain !== left && state.capacity > 0)
    .map(({state: {domain, capacity}, placed}) => ({
      domain,
      spare: Math.max(0.1 * capacity, capacity - placed),
    }));
  const total = spares.reduce((sum, {spare}) => sum + spare, 0);
  if (total === 0) return {kind: 'stay'};
  const shares = new Map(
    spares.map(({domain, spare}) => [domain, spare / total]),
  );
  return {kind: 'leave', reason: 'failing', shares};
}

/** Time that more work adds for all calls, for each call of this work. */
function marginalMilliseconds(
  state: DomainState,
  placed: number,
  step: number,
): number {
  const before = Math.max(0, placed);
  const after = before + step;
  return (
    (after * answerMilliseconds(state, after) -
      before * answerMilliseconds(state, before)) /
    step
  );
}

/** Time of a call with its wait, by the approximation of Sakasegawa. */
function answerMilliseconds(
  {capacity, servers, callMilliseconds}: DomainState,
  work: number,
): number {
  const use = work / capacity;
  const wait = waitFactor(Math.min(use, balancedUse), servers);
  const overload = Math.max(0, use - balancedUse) * overloadMilliseconds;
  return callMilliseconds * (1 + wait) + overload;
}

/** Mean wait as a multiple of the time of a call, for times that vary. */
function waitFactor(use: number, servers: number): number {
  return use ** (Math.sqrt(2 * (servers + 1)) - 1) / (servers * (1 - use));
}

/** Times of similar calls vary little, which halves their waits. */
const similarCallsWaitFraction = 0.5;

/** Calls for each slot below which their number says little about the capacity. */
const minimumCallsPerSlot = 0.5;

/** Highest use that a number of calls in balance shows. */
const maximumBalancedUse = 0.9;

/** Use that is assumed at most, where a queue grows. */
const maximumUse = 1.2;

/** Measured times contain waits, or lack a part of slow spells. */
const minimumCorrection = 0.8;
const maximumCorrection = 1.5;

export interface CapacityObservation {
  /** Capacity as a multiple of what measured times suggest. */
  readonly correction: number;
  /** Whether there are more calls than a queue in balance has. */
  readonly isOverloaded: boolean;
}

/**
 * Returns how far the capacity of a domain is from what measured times suggest.
 * Those contain waits in queues, so that a domain that is used well would appear to
 * have nothing to spare. The number of calls at its upstreams shows how much of the
 * capacity the placed work uses; undefined if there are too few.
 */
export function capacityCorrection(
  {capacity}: DomainState,
  placed: number,
  calls: number,
  {slots, slotsOfUpstream}: {slots: number; slotsOfUpstream: number},
): CapacityObservation | undefined {
  const callsPerSlot = calls / slots;
  if (!(callsPerSlot >= minimumCallsPerSlot) || capacity <= 0) return undefined;
  const callsAt = (use: number) =>
    use * (1 + similarCallsWaitFraction * waitFactor(use, slotsOfUpstream));
  let low = 0;
  let high = maximumBalancedUse;
  for (let step = 0; step < 12; step += 1) {
    const middle = (low + high) / 2;
    if (callsAt(middle) < callsPerSlot) low = middle;
    else high = middle;
  }
  const excess = Math.max(0, callsPerSlot - callsAt(maximumBalancedUse));
  const use = Math.min(maximumUse, low + excess / slotsOfUpstream);
  const correction = Math.min(
    maximumCorrection,
    Math.max(minimumCorrection, placed / use / capacity),
  );
  return {correction, isOverloaded: excess > 0};
}

/** Work that reaches the upstreams of a domain with the shares in use. */
export function placedWork(
  domain: string,
  states: readonly DomainState[],
  current: ReadonlyMap<string, DomainShares>,
): number {
  return states.reduce((sum, {domain: from, demand = 0}) => {
    const shares = current.get(from);
    const sent = shares?.kind === 'leave' ? shares.shares : undefined;
    const part =
      from === domain
        ? 1 - [...(sent?.values() ?? [])].reduce((all, each) => all + each, 0)
        : (sent?.get(domain) ?? 0);
    return sum + demand * part;
  }, 0);
}

/** Part of the way to the planned share that is taken at once. */
const approachFraction = 0.4;

/** Shares are multiples of this, and stay until the plan is further away. */
const shareUnit = 0.05;

/** Change from which a share in use is replaced. */
const hysteresis = 0.04;

/**
 * Moves the shares in use towards a plan. A part of the way only, because other
 * hosts move at the same time and reports are old; at once where upstreams fail.
 */
export class ShareApproach {
  private readonly exact = new Map<string, number>();
  current: DomainShares = {kind: 'stay'};

  /** Returns whether the shares in use have changed. */
  update(
    plan: DomainShares,
    isAvailable: (domain: string) => boolean,
  ): boolean {
    const planned = plan.kind === 'leave' ? plan.shares : undefined;
    const used =
      this.current.kind === 'leave' ? this.current.shares : undefined;
    const isFailing = plan.kind === 'leave' && plan.reason === 'failing';
    const next = new Map<string, number>();
    for (const domain of new Set([
      ...(planned?.keys() ?? []),
      ...this.exact.keys(),
    ])) {
      const target = planned?.get(domain) ?? 0;
      const before = this.exact.get(domain) ?? 0;
      const exact =
        isFailing || !isAvailable(domain)
          ? target
          : before + (target - before) * approachFraction;
      if (exact < shareUnit / 4) this.exact.delete(domain);
      else this.exact.set(domain, exact);
      const usedShare = used?.get(domain) ?? 0;
      const rounded = isFailing
        ? exact
        : Math.round(exact / shareUnit) * shareUnit;
      const share =
        isFailing ||
        !isAvailable(domain) ||
        Math.abs(exact - usedShare) >= hysteresis
          ? rounded
          : usedShare;
      if (share > 0) next.set(domain, share);
    }
    const isChanged =
      next.size !== (used?.size ?? 0) ||
      [...next].some(
        ([domain, share]) => Math.abs((used?.get(domain) ?? 0) - share) > 1e-9,
      );
    if (next.size === 0) this.current = {kind: 'stay'};
    else {
      const reason =
        plan.kind === 'leave'
          ? plan.reason
          : this.current.kind === 'leave'
            ? this.current.reason
            : 'speed';
      this.current = {kind: 'leave', reason, shares: next};
    }
    return isChanged;
  }
}
