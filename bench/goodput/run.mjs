/** One run of a fleet under a load, a fault and a policy. */

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

const warmMilliseconds = 5_000;
const measuredMilliseconds = 15_000;
const faultAtMilliseconds = 4_000;
/** Time until the memory of a lost host's requests is swept. */
const sweepMilliseconds = 2_000;
/** Share of gaps between tokens that may exceed the target. */
const lateGapShare = 0.05;

/** Time that requests have to end after the measured time, under load. */
const drainMilliseconds = 4_000;

const end = warmMilliseconds + measuredMilliseconds;

/** Runs `scenario` and gives its figures. */
export async function measure(scenario) {
  const {load, fault, policy, seed, factors = {}} = scenario;
  const deployment = deployments[scenario.name];
  const fleet = new SimulatedFleet(fleetSpecOf(deployment, seed));
  const hosts = (
    scenario.isOneChooser ? deployment.hosts.slice(0, 1) : deployment.hosts
  ).map(host => startHost(fleet, host, policy));
  const arrivals = drawArrivals({
    deployment,
    load,
    milliseconds: end + drainMilliseconds,
    seed,
    factors,
  });
  const outcomes = [];
  const finished = {isOver: false};
  const feeding = feed(fleet, hosts, arrivals, outcomes, finished);
  const breaking = breakFleet(fleet, hosts, fault);
  await fleet.clock.advance(end + drainMilliseconds);
  const figures = summarise(scenario, fleet, outcomes);
  finished.isOver = true;
  for (const host of hosts) endCallers(host);
  await fleet.clock.runUntil(Promise.all([feeding, breaking]));
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
  return {runner, attempts, callers: new Set(), isLost: false};
}

function endCallers({callers}) {
  for (const caller of callers) caller.abort();
}

async function feed(fleet, hosts, arrivals, outcomes, finished) {
  for (const arrival of arrivals) {
    await fleet.clock.sleep(arrival.time - fleet.clock.now());
    if (finished.isOver) return;
    const live = hosts.filter(({isLost}) => !isLost);
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
    end: 'open',
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
    outcome.end = event.kind === 'failed' ? event.failure.code : 'finished';
  }
  host.callers.delete(caller);
}

async function breakFleet(fleet, hosts, fault) {
  if (fault === 'none') return;
  await fleet.clock.sleep(faultAtMilliseconds);
  switch (fault) {
    case 'engine':
      return fleet.engine('d1').fail({kind: 'dead'});
    case 'domain':
      return cutDomain(fleet, 'a');
    case 'host':
      return loseHost(fleet, hosts[0]);
  }
}

async function cutDomain(fleet, domain) {
  fleet.cutDomains.add(domain);
  await fleet.clock.sleep(sweepMilliseconds);
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

async function loseHost(fleet, host) {
  host.isLost = true;
  const held = [...host.attempts.values()];
  // Engines that fall silent towards the lost host hear no cancel from it.
  endCallers(host);
  await fleet.clock.sleep(sweepMilliseconds);
  for (const engine of fleet.engines.values())
    for (const attempt of held) engine.cancel(attempt);
}

function isGood({spec, end: ending, firstTokenMilliseconds, lateGaps}) {
  if (ending !== 'finished') return false;
  if (spec.service === 'deferrable') return true;
  return (
    firstTokenMilliseconds <= targets.firstTokenMilliseconds &&
    lateGaps <= lateGapShare * spec.maximumTokens
  );
}

const costOf = ({spec}) => spec.promptTokens + spec.maximumTokens;
const sum = (values, valueOf) =>
  values.reduce((total, value) => total + valueOf(value), 0);

function summarise(scenario, fleet, outcomes) {
  const {fault} = scenario;
  const deployment = deployments[scenario.name];
  const seconds = measuredMilliseconds / 1000;
  const capacity = capacityOf(deployment.engines);
  const arrived = outcomes.filter(
    ({arrivedAt}) => arrivedAt >= warmMilliseconds && arrivedAt < end,
  );
  const good = outcomes.filter(
    outcome =>
      outcome.endedAt >= warmMilliseconds &&
      outcome.endedAt < end &&
      isGood(outcome),
  );
  // By account the requests of the measured time are followed to their end.
  const followed = arrived.filter(isGood);
  const delivered = sum(good, ({spec}) => spec.maximumTokens) / seconds;
  const offered = sum(arrived, ({spec}) => spec.maximumTokens) / seconds;
  const possible = Math.min(offered, possibleOf(deployment, fault, offered));
  const costPerToken =
    sum(arrived, costOf) / sum(arrived, ({spec}) => spec.maximumTokens);
  return {
    goodput: delivered / capacity,
    possible: possible / capacity,
    reached: delivered / possible,
    wasted: wastedShare(fleet),
    worstAccount: worstAccount(
      possible * costPerToken * seconds,
      arrived,
      followed,
    ),
    goodByAccount: groupCost(followed),
    refused: arrived.filter(({end: ending}) =>
      ['target-unreachable', 'queue-full', 'no-upstream'].includes(ending),
    ).length,
    failed: arrived.filter(
      ({end: ending}) =>
        ![
          'finished',
          'open',
          'target-unreachable',
          'queue-full',
          'no-upstream',
        ].includes(ending),
    ).length,
    late: outcomes.filter(
      outcome => outcome.end === 'finished' && !isGood(outcome),
    ).length,
    arrived: arrived.length,
  };
}

/** Tokens a second that the engines could make with the fault. */
function possibleOf(deployment, fault, offered) {
  const {engines, hosts} = deployment;
  switch (fault) {
    case 'none':
    case 'host':
      return capacityOf(engines);
    case 'engine':
      return capacityOf(engines.filter(({name}) => name !== 'd1'));
    case 'domain': {
      const isCut = ({failureDomain}) => failureDomain === 'a';
      const cutOffered = (offered * hosts.filter(isCut).length) / hosts.length;
      const isKept = engine => !isCut(engine);
      return (
        Math.min(cutOffered, capacityOf(engines.filter(isCut))) +
        Math.min(offered - cutOffered, capacityOf(engines.filter(isKept)))
      );
    }
  }
}

function wastedShare(fleet) {
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

function groupCost(outcomes) {
  const costs = {};
  for (const outcome of outcomes)
    costs[outcome.spec.account] =
      (costs[outcome.spec.account] ?? 0) + costOf(outcome);
  return costs;
}

function worstAccount(capacity, arrived, good) {
  const due = fairShares(capacity, groupCost(arrived));
  const served = groupCost(good);
  return Math.min(
    ...Object.entries(due).map(([name, cost]) => (served[name] ?? 0) / cost),
  );
}
