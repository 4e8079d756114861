/**
 * Measures which part of a retry budget hosts can use, in virtual time: all hosts
 * need retries all the time, only one in ten does, or one host does. Without
 * arguments for 6, 80 and 300 hosts. Prints a row for each case.
 */
import {
  PoolRetryBudget,
  RetryLoans,
  VirtualClock,
  encodeSpares,
  failureDomainId,
  hostId,
  seededRandom,
} from '../packages/coordination/dist/src/index.js';

const windowMilliseconds = 10_000;
const ratio = 0.2;
const stepMilliseconds = 20;
const warmUpMilliseconds = 10_000;
const pool = 'engines';

/** Deployments: hosts, calls of all hosts in a second, fixed part of the budget. */
const deployments = [
  {hosts: 6, callsPerSecond: 9, extra: 52},
  {hosts: 80, callsPerSecond: 55, extra: 200},
  {hosts: 300, callsPerSecond: 190, extra: 640},
];

/** Share of the hosts whose calls fail. */
const needs = [
  ['all hosts', 1],
  ['a tenth of the hosts', 0.1],
  ['one host', 0],
];

async function measure({hosts, callsPerSecond, extra}, needShare, usesLoans) {
  const clock = new VirtualClock();
  const random = seededRandom(1);
  const addresses = Array.from({length: hosts}, (_, i) => `10.0.0.1:${i + 1}`);
  const members = addresses.map((address, index) => ({
    host: hostId(`host-${index}`),
    failureDomain: failureDomainId(`zone-${index % 3}`),
    address,
    isLive: true,
    reportAgeMilliseconds: 0,
    handoverAddress: '',
    unreachablePools: [],
  }));
  const loans = [];
  const budgets = [];
  for (const [index, self] of members.entries()) {
    loans.push(
      new RetryLoans({
        clock,
        random,
        failureDomain: self.failureDomain,
        members: () => members,
        isMember: () => true,
        send: (to, message) =>
          void clock
            .sleep(2)
            .then(() =>
              loans[addresses.indexOf(to)].receive(self.address, message),
            ),
        lend: (key, amount) => budgets[index].lend(key, amount),
      }),
    );
    budgets.push(
      new PoolRetryBudget({
        clock,
        ratio,
        extra,
        windowMilliseconds,
        share: () => ({kind: 'counted', hosts}),
        ...(usesLoans && {loans: loans[index]}),
      }),
    );
  }
  const needy = Math.max(1, Math.round(hosts * needShare));
  const calls = [];
  const retries = [];
  let reportedAt = -Infinity;
  const interval = 200 + 12 * hosts;
  while (clock.now() < warmUpMilliseconds + 2 * windowMilliseconds) {
    const now = clock.now();
    const isNeeded = now >= warmUpMilliseconds;
    if (now - reportedAt >= interval) {
      reportedAt = now;
      for (const [index, budget] of budgets.entries()) {
        const report = encodeSpares(budget.spares());
        for (const [other, each] of loans.entries())
          if (other !== index) each.recordPeer(addresses[index], report);
      }
    }
    const expected = (callsPerSecond * stepMilliseconds) / 1000;
    for (let left = expected; left > 0; left -= 1) {
      if (random.next() >= left) continue;
      calls.push(now);
      budgets[Math.floor(random.next() * hosts)].recordCall(pool);
    }
    if (isNeeded)
      for (let index = 0; index < needy; index += 1)
        void budgets[index].acquire(pool, 1).then(held => {
          for (const retry of held ?? []) retry.use();
          if (held !== undefined) retries.push(clock.now());
        });
    await clock.advance(stepMilliseconds);
  }
  const count = (times, from) =>
    times.filter(time => time >= from && time < from + windowMilliseconds)
      .length;
  return [warmUpMilliseconds, warmUpMilliseconds + windowMilliseconds].map(
    from => {
      const allowed = ratio * count(calls, from) + extra;
      return `${count(retries, from)} of ${Math.floor(allowed)}`;
    },
  );
}

console.log('hosts | need | loans | first window | next window');
for (const deployment of deployments)
  for (const [title, share] of needs)
    for (const usesLoans of [false, true]) {
      const [first, next] = await measure(deployment, share, usesLoans);
      const row = [deployment.hosts, title, usesLoans, first, next];
      console.log(row.join(' | '));
    }
