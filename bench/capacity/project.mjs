/** Projects the measured costs to the fleet size planned in two years. */

import {lineThrough} from './slope.mjs';

/** Size and workload of the planned fleet. */
const plannedFleet = {
  hosts: 360,
  domains: 7,
  servers: 640,
  accounts: 6100,
  requestsPerSecond: 3800,
  tokensPerSecond: 1.4e6,
  changesPerDay: 1300,
};
const secondsPerDay = 86_400;
const pollsPerSecond = 400;
const heartbeatSeconds = 3;
const sweepSeconds = 3;
const watchSeconds = 30;
/** Each slot of the 2,600 planned accelerators generates a token in 60 ms. */
const secondsPerToken = 0.06;

/**
 * Cost of a role that takes part in `endsPerSecond` exchanges. Each of the two
 * hosts in an exchange counts as one end.
 */
function peerRow(
  role,
  endsPerSecond,
  bytesEach,
  {overheadBytes, oneEndMicroseconds},
) {
  return {
    role,
    messages: endsPerSecond * 2,
    bytes: endsPerSecond * (bytesEach + overheadBytes),
    microseconds: endsPerSecond * oneEndMicroseconds,
  };
}

function project(measured) {
  const {grpc, idle, limits, accounts, engineReads, sweeps, entry} = measured;
  const requestsPerHostSecond =
    plannedFleet.requestsPerSecond / plannedFleet.hosts;
  const exchanges = lineThrough(
    limits.map(row => [row.otherShare, row.exchangesEach]),
  );
  const nonHolderFraction = 1 - plannedFleet.domains / plannedFleet.hosts;
  const limitExchangesPerRequest =
    exchanges.intercept + exchanges.slope * nonHolderFraction;
  const delta = lineThrough(accounts.map(row => [row.accounts, row.delta]));
  const changesPerSecond = plannedFleet.changesPerDay / secondsPerDay;
  const configurationBytes = idle.at(-1).configuration.bytesEach;
  const followers =
    plannedFleet.hosts / plannedFleet.domains -
    2 +
    2 * (plannedFleet.domains - 1);
  const read = engineReads[20];
  const streams = plannedFleet.tokensPerSecond * secondsPerToken;
  const attempts = streams / plannedFleet.servers;
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
    plannedFleet.servers / plannedFleet.hosts / sweepSeconds;
  const poll = lineThrough(
    measured.engines.map(row => [row.loads, row.processorMicroseconds]),
  );
  const watch = followers * (1 / watchSeconds + changesPerSecond);
  return [
    peerRow(
      'heartbeat peer',
      6 / heartbeatSeconds,
      idle.at(-1).fleet.bytesEach,
      grpc,
    ),
    peerRow(
      'gateway, further',
      12 / (3 * heartbeatSeconds),
      idle.at(-1).fleet.bytesEach,
      grpc,
    ),
    peerRow(
      'configuration, follower',
      2 * (1 / watchSeconds + changesPerSecond),
      configurationBytes,
      grpc,
    ),
    peerRow('configuration, watcher', watch, configurationBytes, grpc),
    {
      role: 'configuration, check of deltas',
      messages: 0,
      bytes: 0,
      microseconds:
        changesPerSecond *
        (delta.intercept + delta.slope * plannedFleet.accounts),
    },
    peerRow(
      'limit requester and holder',
      2 * requestsPerHostSecond * limitExchangesPerRequest,
      limits.at(-1).bytesEach,
      grpc,
    ),
    peerRow(
      'sweeper, ownership requests',
      8 / sweepSeconds,
      sweeps[0].bytesEach,
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
      role: 'engine reports (as built)',
      messages: 2 * pollsPerSecond * 1.5,
      bytes: pollsPerSecond * (read.load.bytes + read.cacheEvents.bytes / 2),
      microseconds:
        pollsPerSecond *
        (read.load.oneEndMicroseconds +
          read.cacheEvents.oneEndMicroseconds / 2),
    },
    peerRow(
      'claim, all requests claimed (upper bound)',
      // In the measurement, two of three witnesses were remote.
      2 * requestsPerHostSecond * measured.claims.exchangesEach * 1.5,
      measured.claims.bytesEach,
      grpc,
    ),
    {
      role: 'engine reports, library with the engine model',
      messages: 0,
      bytes: 0,
      microseconds: pollsPerSecond * poll.slope,
    },
    {
      role: 'idle maintenance of all parts, library (maximum of 2 to 18 hosts)',
      messages: 0,
      bytes: 0,
      microseconds: Math.max(...idle.map(row => row.processorMicroseconds)),
    },
    {
      role: 'entry: tokens and requests in the library (data)',
      messages: 0,
      bytes: 0,
      microseconds:
        (plannedFleet.tokensPerSecond / plannedFleet.hosts) * entry.slope +
        requestsPerHostSecond * entry.intercept,
    },
  ];
}

function memory({accounts, claims, engines, cacheView, view}) {
  const used = lineThrough(accounts.map(row => [row.accounts, row.used]));
  const published = lineThrough(
    accounts.map(row => [row.accounts, row.published]),
  );
  const engine = lineThrough(engines.map(row => [row.upstreams, row.heap]));
  return {
    'configuration, 6,100 accounts':
      published.intercept + published.slope * plannedFleet.accounts,
    'limits, 6,100 accounts at a host that uses 1/4 and holds 1/2':
      used.intercept + used.slope * plannedFleet.accounts,
    '50,000 claims (bound)': claims.heap * 50_000,
    '640 engines': engine.slope * plannedFleet.servers,
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
