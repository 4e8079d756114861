/** Arithmetic from the slopes to the two-year size. */

import {lineThrough} from './slope.mjs';

/** The size that is planned for, and what one host may spend. */
const size = {
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
/** Slots of 2,600 accelerators that answer at 60 ms a token. */
const secondsPerToken = 0.06;

/** Ends of exchanges a second, bytes sent and received, and processor time. */
function peerRow(role, ends, bytesEach, {overheadBytes, oneEndMicroseconds}) {
  return {
    role,
    messages: ends * 2,
    bytes: ends * (bytesEach + overheadBytes),
    microseconds: ends * oneEndMicroseconds,
  };
}

function project(measured) {
  const {grpc, idle, limits, accounts, engineReads, sweeps, entry} = measured;
  const perHost = size.requestsPerSecond / size.hosts;
  const exchanges = lineThrough(
    limits.map(each => [each.otherShare, each.exchangesEach]),
  );
  const otherShare = 1 - size.domains / size.hosts;
  const limitEach = exchanges.intercept + exchanges.slope * otherShare;
  const delta = lineThrough(accounts.map(each => [each.accounts, each.delta]));
  const changes = size.changesPerDay / secondsPerDay;
  const configurationBytes = idle.at(-1).configuration.bytesEach;
  const followers = size.hosts / size.domains - 2 + 2 * (size.domains - 1);
  const read = engineReads[20];
  const streams = size.tokensPerSecond * secondsPerToken;
  const attempts = streams / size.servers;
  const list = lineThrough(
    Object.entries(engineReads).map(([count, each]) => [
      Number(count),
      each.running.bytes,
    ]),
  );
  const listTime = lineThrough(
    Object.entries(engineReads).map(([count, each]) => [
      Number(count),
      each.running.oneEndMicroseconds,
    ]),
  );
  const listsPerSecond = size.servers / size.hosts / sweepSeconds;
  const poll = lineThrough(
    measured.engines.map(each => [each.loads, each.processorMicroseconds]),
  );
  const watch = followers * (1 / watchSeconds + changes);
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
      2 * (1 / watchSeconds + changes),
      configurationBytes,
      grpc,
    ),
    peerRow('configuration, watcher', watch, configurationBytes, grpc),
    {
      role: 'configuration, check of deltas',
      messages: 0,
      bytes: 0,
      microseconds: changes * (delta.intercept + delta.slope * size.accounts),
    },
    peerRow(
      'limit asker and holder',
      2 * perHost * limitEach,
      limits.at(-1).bytesEach,
      grpc,
    ),
    peerRow('sweeper, questions', 8 / sweepSeconds, sweeps[0].bytesEach, grpc),
    {
      role: `sweeper, lists of ${attempts.toFixed(0)} attempts`,
      messages: 2 * listsPerSecond,
      bytes: listsPerSecond * (list.intercept + list.slope * attempts),
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
      'claim, all requests claimed (upper end)',
      // Two of three witnesses were remote in the measurement.
      2 * perHost * measured.claims.exchangesEach * 1.5,
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
      role: 'upkeep of all parts, library, idle (most of 2 to 18 hosts)',
      messages: 0,
      bytes: 0,
      microseconds: Math.max(...idle.map(each => each.processorMicroseconds)),
    },
    {
      role: 'entry: tokens and requests in the library (data)',
      messages: 0,
      bytes: 0,
      microseconds:
        (size.tokensPerSecond / size.hosts) * entry.slope +
        perHost * entry.intercept,
    },
  ];
}

function memory({accounts, claims, engines, cacheView, view}) {
  const used = lineThrough(accounts.map(each => [each.accounts, each.used]));
  const published = lineThrough(
    accounts.map(each => [each.accounts, each.published]),
  );
  const engine = lineThrough(engines.map(each => [each.upstreams, each.heap]));
  return {
    'configuration, 6,100 accounts':
      published.intercept + published.slope * size.accounts,
    'limits, 6,100 accounts at a host that uses 1/4 and holds 1/2':
      used.intercept + used.slope * size.accounts,
    '50,000 claims (bound)': claims.heap * 50_000,
    '640 engines': engine.slope * size.servers,
    '320 full cache views':
      (cacheView.slope * 4096 + cacheView.intercept) * 320,
    '360 known hosts': view.heap.slope * size.hosts,
  };
}

/** Prints each role at the two-year size. */
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
