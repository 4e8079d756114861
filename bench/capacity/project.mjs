/** Projects the measured costs to the size of the planned fleet. */

import {lineThrough} from './slope.mjs';

/** Size and workload planned for two years ahead. */
const plannedFleet = {
  hosts: 360,
  domains: 7,
  engines: 640,
  accounts: 6100,
  requestsPerSecond: 3800,
  tokensPerSecond: 1.4e6,
  changesPerDay: 1300,
};
const secondsPerDay = 86_400;
const engineReadsPerHostSecond = 400;
const heartbeatIntervalSeconds = 3;
const sweepIntervalSeconds = 3;
const configurationPollIntervalSeconds = 30;
/** A slot of the 2,600 planned accelerators generates one token in 60 ms. */
const secondsPerToken = 0.06;

/** Cost of a role at one host that sends or receives `exchangesPerSecond`. */
function peerRow(
  role,
  exchangesPerSecond,
  bytesPerExchange,
  {overheadBytes, oneEndMicroseconds},
) {
  return {
    role,
    messages: exchangesPerSecond * 2,
    bytes: exchangesPerSecond * (bytesPerExchange + overheadBytes),
    microseconds: exchangesPerSecond * oneEndMicroseconds,
  };
}

function project(measured) {
  const {grpc, idle, limits, accounts, engineReads, sweeps, entry} = measured;
  const requestsPerHostSecond =
    plannedFleet.requestsPerSecond / plannedFleet.hosts;
  const exchanges = lineThrough(
    limits.map(row => [row.nonHolderFraction, row.exchangesPerRequest]),
  );
  const nonHolderFraction = 1 - plannedFleet.domains / plannedFleet.hosts;
  const limitExchangesPerRequest =
    exchanges.intercept + exchanges.slope * nonHolderFraction;
  const delta = lineThrough(
    accounts.map(row => [row.accounts, row.deltaMicroseconds]),
  );
  const changesPerSecond = plannedFleet.changesPerDay / secondsPerDay;
  const configurationBytes = idle.at(-1).configuration.bytesPerExchange;
  // Each domain has 2 watchers. A watcher serves the other hosts of its domain
  // and the 2 watchers of every other domain.
  const followers =
    plannedFleet.hosts / plannedFleet.domains -
    2 +
    2 * (plannedFleet.domains - 1);
  const read = engineReads[20];
  const streams = plannedFleet.tokensPerSecond * secondsPerToken;
  const attempts = streams / plannedFleet.engines;
  const listBytes = lineThrough(
    Object.entries(engineReads).map(([count, row]) => [
      Number(count),
      row.running.bytes,
    ]),
  );
  const listTime = lineThrough(
    Object.entries(engineReads).map(([count, row]) => [
      Number(count),
      row.running.oneEndMicroseconds,
    ]),
  );
  const listsPerSecond =
    plannedFleet.engines / plannedFleet.hosts / sweepIntervalSeconds;
  const poll = lineThrough(
    measured.engines.map(row => [
      row.loadReadsPerSecond,
      row.processorMicroseconds,
    ]),
  );
  const watch =
    followers * (1 / configurationPollIntervalSeconds + changesPerSecond);
  return [
    peerRow(
      'heartbeat peer',
      6 / heartbeatIntervalSeconds,
      idle.at(-1).fleet.bytesPerExchange,
      grpc,
    ),
    peerRow(
      'gateway, additional heartbeats',
      12 / (3 * heartbeatIntervalSeconds),
      idle.at(-1).fleet.bytesPerExchange,
      grpc,
    ),
    peerRow(
      'configuration, follower',
      2 * (1 / configurationPollIntervalSeconds + changesPerSecond),
      configurationBytes,
      grpc,
    ),
    peerRow('configuration, watcher', watch, configurationBytes, grpc),
    {
      role: 'configuration, validation of deltas',
      messages: 0,
      bytes: 0,
      microseconds:
        changesPerSecond *
        (delta.intercept + delta.slope * plannedFleet.accounts),
    },
    peerRow(
      'limit requester and holder',
      2 * requestsPerHostSecond * limitExchangesPerRequest,
      limits.at(-1).bytesPerExchange,
      grpc,
    ),
    peerRow(
      'sweeper, ownership requests',
      8 / sweepIntervalSeconds,
      sweeps[0].bytesPerExchange,
      grpc,
    ),
    {
      role: `sweeper, lists of ${attempts.toFixed(0)} attempts`,
      messages: 2 * listsPerSecond,
      bytes:
        listsPerSecond * (listBytes.intercept + listBytes.slope * attempts),
      microseconds:
        listsPerSecond * (listTime.intercept + listTime.slope * attempts),
    },
    {
      role: 'engine reports, HTTP',
      messages: 2 * engineReadsPerHostSecond * 1.5,
      bytes:
        engineReadsPerHostSecond *
        (read.load.bytes + read.cacheEvents.bytes / 2),
      microseconds:
        engineReadsPerHostSecond *
        (read.load.oneEndMicroseconds +
          read.cacheEvents.oneEndMicroseconds / 2),
    },
    peerRow(
      'claim, all requests claimed (upper bound)',
      // In the measurement, two of three witnesses were remote.
      2 * requestsPerHostSecond * measured.claims.exchangesPerRequest * 1.5,
      measured.claims.bytesPerExchange,
      grpc,
    ),
    {
      role: 'engine reports, library with the simulated engine',
      messages: 0,
      bytes: 0,
      microseconds: engineReadsPerHostSecond * poll.slope,
    },
    {
      role: 'idle maintenance of all parts, library (maximum of 2 to 18 hosts)',
      messages: 0,
      bytes: 0,
      microseconds: Math.max(...idle.map(row => row.processorMicroseconds)),
    },
    {
      role: 'entry: tokens and requests in the library',
      messages: 0,
      bytes: 0,
      microseconds:
        (plannedFleet.tokensPerSecond / plannedFleet.hosts) * entry.slope +
        requestsPerHostSecond * entry.intercept,
    },
  ];
}

function memory({accounts, claims, engines, cacheView, view}) {
  const used = lineThrough(
    accounts.map(row => [row.accounts, row.usedHeapBytes]),
  );
  const published = lineThrough(
    accounts.map(row => [row.accounts, row.publishedHeapBytes]),
  );
  const engine = lineThrough(
    engines.map(row => [row.upstreams, row.hostHeapBytes]),
  );
  return {
    'configuration, 6,100 accounts':
      published.intercept + published.slope * plannedFleet.accounts,
    'limits, 6,100 accounts; the host uses 1/4 and holds 1/2 of them':
      used.intercept + used.slope * plannedFleet.accounts,
    '50,000 claims (bound)': claims.heap * 50_000,
    '640 engines': engine.slope * plannedFleet.engines,
    '320 full cache views':
      (cacheView.slope * 4096 + cacheView.intercept) * 320,
    '360 known hosts': view.heap.slope * plannedFleet.hosts,
  };
}

/** Prints the cost of each role in the planned fleet. */
export function printProjection(measured) {
  console.log('\n| Role | Messages/s | KB/s sent and received | % of a core |');
  console.log('| --- | --- | --- | --- |');
  for (const {role, messages, bytes, microseconds} of project(measured))
    console.log(
      `| ${role} | ${messages.toFixed(2)} | ${(bytes / 1000).toFixed(2)} | ${(microseconds / 10_000).toFixed(2)} |`,
    );
  console.log('\n| State | MB |\n| --- | --- |');
  for (const [name, bytes] of Object.entries(memory(measured)))
    console.log(`| ${name} | ${(bytes / 1e6).toFixed(1)} |`);
}
