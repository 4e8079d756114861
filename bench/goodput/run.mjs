/** Measures a fleet under one combination of load, fault and policy. */

import {SimulatedFleet} from '../../packages/coordination/dist/src/index.js';
import {
  capacityOf,
  deployments,
  drawArrivals,
  fairShares,
  fleetSpecOf,
  placementOptions,
  targets,
} from './workload.mjs';

const warmUpMilliseconds = 5_000;
const measuredMilliseconds = 15_000;
const faultAtMilliseconds = 4_000;
/** Time until engines release the memory of requests of an unreachable host. */
const sweepDelayMilliseconds = 2_000;
/** Fraction of the gaps between tokens that may exceed the target. */
const lateGapFraction = 0.05;

/**
 * Time after the measured interval in which arrivals continue, so measured
 * requests finish under load.
 */
const coolDownMilliseconds = 4_000;

const endMilliseconds = warmUpMilliseconds + measuredMilliseconds;

/** Runs `scenario` and returns its figures. */
export async function measure(scenario) {
  const {load, fault, policy, seed, factors = {}} = scenario;
  const deployment = deployments[scenario.name];
  const fleet = new SimulatedFleet(fleetSpecOf(deployment, seed));
  const hosts = (
    scenario.isSingleHost ? deployment.hosts.slice(0, 1) : deployment.hosts
  ).map(host => startHost(fleet, host, policy));
  const arrivals = drawArrivals({
    deployment,
    load,
    milliseconds: endMilliseconds + coolDownMilliseconds,
    seed,
    factors,
  });
  const outcomes = [];
  const state = {isFinished: false};
  const feeding = sendArrivals(fleet, hosts, arrivals, outcomes, state);
  const faultInjection = injectFault(fleet, hosts, fault);
  await fleet.clock.advance(endMilliseconds + coolDownMilliseconds);
  const figures = summarize(scenario, fleet, outcomes);
  state.isFinished = true;
  for (const host of hosts) disconnectCallers(host);
  await fleet.clock.runUntil(Promise.all([feeding, faultInjection]));
  await fleet.clock.runUntil(
    Promise.all(hosts.map(({runner}) => runner.close())),
  );
  return figures;
}

function startHost(fleet, host, policy) {
  const attempts = new Map();
  const runner = fleet.makeRunner(host, {
    ...placementOptions,
    policy,
    ownedAttempts: {
      register: attempt => attempts.set(attempt.attempt, attempt),
      release: ({attempt}) => attempts.delete(attempt),
    },
  });
  return {runner, attempts, callers: new Set(), hasCrashed: false};
}

function disconnectCallers({callers}) {
  for (const caller of callers) caller.abort();
}

async function sendArrivals(fleet, hosts, arrivals, outcomes, state) {
  for (const arrival of arrivals) {
    await fleet.clock.sleep(arrival.time - fleet.clock.now());
    if (state.isFinished) return;
    const live = hosts.filter(({hasCrashed}) => !hasCrashed);
    const host = live[Math.floor(arrival.hostDraw * live.length)];
    void serve(fleet, host, arrival.spec, outcomes);
  }
}

async function serve(fleet, host, spec, outcomes) {
  const {clock} = fleet;
  const outcome = {
    spec,
    arrivedAt: clock.now(),
    firstTokenMilliseconds: Infinity,
    lateGaps: 0,
    endedAt: undefined,
    result: 'open',
  };
  outcomes.push(outcome);
  let lastAt = clock.now();
  const request = fleet.makeRequest(spec);
  const caller = new AbortController();
  host.callers.add(caller);
  for await (const event of host.runner.run(request, caller.signal)) {
    const now = clock.now();
    if (event.kind === 'token' && event.offset === 0)
      outcome.firstTokenMilliseconds = now - outcome.arrivedAt;
    else if (
      event.kind === 'token' &&
      now - lastAt > targets.betweenTokensMilliseconds
    )
      outcome.lateGaps += 1;
    lastAt = now;
    if (event.kind === 'token') continue;
    outcome.endedAt = now;
    outcome.result = event.kind === 'failed' ? event.failure.code : 'finished';
  }
  host.callers.delete(caller);
}

async function injectFault(fleet, hosts, fault) {
  if (fault === 'none') return;
  await fleet.clock.sleep(faultAtMilliseconds);
  switch (fault) {
    case 'engine':
      return fleet.engine('d1').fail({kind: 'dead'});
    case 'domain':
      return cutDomain(fleet, 'a');
    case 'host':
      return crashHost(fleet, hosts[0]);
  }
}

async function cutDomain(fleet, domain) {
  fleet.cutDomains.add(domain);
  await fleet.clock.sleep(sweepDelayMilliseconds);
  const domainOf = specs =>
    new Map(specs.map(({name, failureDomain}) => [name, failureDomain]));
  const hostDomains = domainOf(fleet.spec.hosts);
  const engineDomains = domainOf(fleet.spec.engines);
  for (const [name, engine] of fleet.engines)
    for (const attempt of engine.running()) {
      const ownerDomain = hostDomains.get(attempt.owner.host);
      if (!fleet.canReach(ownerDomain, engineDomains.get(name)))
        engine.cancel(attempt);
    }
}

async function crashHost(fleet, host) {
  host.hasCrashed = true;
  const orphanedAttempts = [...host.attempts.values()];
  // Cancellations do not reach engines that the crashed host cannot contact. The
  // sweep cancels their attempts.
  disconnectCallers(host);
  await fleet.clock.sleep(sweepDelayMilliseconds);
  for (const engine of fleet.engines.values())
    for (const attempt of orphanedAttempts) engine.cancel(attempt);
}

function meetsTargets({spec, result, firstTokenMilliseconds, lateGaps}) {
  if (result !== 'finished') return false;
  if (spec.service === 'deferrable') return true;
  return (
    firstTokenMilliseconds <= targets.firstTokenMilliseconds &&
    lateGaps <= lateGapFraction * spec.maximumTokens
  );
}

const costOf = ({spec}) => spec.promptTokens + spec.maximumTokens;
const sum = (values, valueOf) =>
  values.reduce((total, value) => total + valueOf(value), 0);

function summarize(scenario, fleet, outcomes) {
  const {fault} = scenario;
  const deployment = deployments[scenario.name];
  const seconds = measuredMilliseconds / 1000;
  const capacityPerSecond = capacityOf(deployment.engines);
  const arrived = outcomes.filter(
    ({arrivedAt}) =>
      arrivedAt >= warmUpMilliseconds && arrivedAt < endMilliseconds,
  );
  const onTarget = outcomes.filter(
    outcome =>
      outcome.endedAt >= warmUpMilliseconds &&
      outcome.endedAt < endMilliseconds &&
      meetsTargets(outcome),
  );
  // Figures by account include requests that finish after the measured interval.
  const onTargetArrivals = arrived.filter(meetsTargets);
  const deliveredPerSecond =
    sum(onTarget, ({spec}) => spec.maximumTokens) / seconds;
  const offeredPerSecond =
    sum(arrived, ({spec}) => spec.maximumTokens) / seconds;
  const achievable = Math.min(
    offeredPerSecond,
    achievableTokensPerSecond(deployment, fault, offeredPerSecond),
  );
  const costPerToken =
    sum(arrived, costOf) / sum(arrived, ({spec}) => spec.maximumTokens);
  return {
    goodput: deliveredPerSecond / capacityPerSecond,
    achievable: achievable / capacityPerSecond,
    reached: deliveredPerSecond / achievable,
    wasted: wastedPrefillFraction(fleet),
    worstAccount: lowestFairShareRatio(
      achievable * costPerToken * seconds,
      arrived,
      onTargetArrivals,
    ),
    onTargetCostByAccount: groupCost(onTargetArrivals),
    refused: arrived.filter(({result}) =>
      ['target-unreachable', 'queue-full', 'no-upstream'].includes(result),
    ).length,
    failed: arrived.filter(
      ({result}) =>
        ![
          'finished',
          'open',
          'target-unreachable',
          'queue-full',
          'no-upstream',
        ].includes(result),
    ).length,
    // Includes requests that arrived outside the measured interval.
    late: outcomes.filter(
      outcome => outcome.result === 'finished' && !meetsTargets(outcome),
    ).length,
    arrived: arrived.length,
  };
}

/** Tokens per second that the engines can generate under the fault. */
function achievableTokensPerSecond(deployment, fault, offeredPerSecond) {
  const {engines, hosts} = deployment;
  switch (fault) {
    case 'none':
    case 'host':
      return capacityOf(engines);
    case 'engine':
      return capacityOf(engines.filter(({name}) => name !== 'd1'));
    case 'domain': {
      const isCut = ({failureDomain}) => failureDomain === 'a';
      const cutOffPerSecond =
        (offeredPerSecond * hosts.filter(isCut).length) / hosts.length;
      const isConnected = engine => !isCut(engine);
      return (
        Math.min(cutOffPerSecond, capacityOf(engines.filter(isCut))) +
        Math.min(
          offeredPerSecond - cutOffPerSecond,
          capacityOf(engines.filter(isConnected)),
        )
      );
    }
  }
}

/** Fraction of prefilled tokens whose attempt neither finished nor is running. */
function wastedPrefillFraction(fleet) {
  const engines = [...fleet.engines.values()];
  const useful = new Set();
  for (const engine of engines) {
    for (const attempt of engine.finishedAttempts) useful.add(attempt);
    for (const attempt of engine.attempts.keys()) useful.add(attempt);
  }
  let computed = 0;
  let wasted = 0;
  for (const engine of engines)
    for (const [attempt, tokens] of engine.computedTokens) {
      computed += tokens;
      if (!useful.has(attempt)) wasted += tokens;
    }
  return wasted / Math.max(1, computed);
}

/** Total cost of outcomes by account. */
function groupCost(outcomes) {
  const costs = {};
  for (const outcome of outcomes)
    costs[outcome.spec.account] =
      (costs[outcome.spec.account] ?? 0) + costOf(outcome);
  return costs;
}

/** Lowest ratio of served cost to fair share among accounts. */
function lowestFairShareRatio(capacity, arrived, onTarget) {
  const fairCosts = fairShares(capacity, groupCost(arrived));
  const servedCosts = groupCost(onTarget);
  return Math.min(
    ...Object.entries(fairCosts).map(
      ([name, cost]) => (servedCosts[name] ?? 0) / cost,
    ),
  );
}
