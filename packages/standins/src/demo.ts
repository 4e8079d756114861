/**
 * Runs three daemons in three failure domains with fakes on this machine. Sends
 * requests of two client accounts, sends an at-most-once request twice, uses a
 * withdrawn key, and kills a daemon. Exits with status 0 if all checks pass.
 */

import {defaultInvariantBounds} from '@persimmonwick/coordination';
import type {CallerResult} from './caller.js';
import {DaemonGroup} from './daemon-group.js';
import {sampleKeys, sampleModel} from './sample-fleet.js';

const streamsPerAccount = 6;
const streamTokens = 200;
/** Longer than the claim retention, for which witnesses abstain at startup. */
const warmUpMilliseconds = 4_500;
const killAfterMilliseconds = 400;
const memoryTimeoutMilliseconds = 12_000;
const pollIntervalMilliseconds = 100;

interface CheckResult {
  readonly description: string;
  readonly observed: string;
  readonly hasPassed: boolean;
}

const sleep = (milliseconds: number) =>
  new Promise<void>(done => setTimeout(done, milliseconds));

async function runDemo(group: DaemonGroup): Promise<CheckResult[]> {
  await sleep(warmUpMilliseconds);
  return [
    ...(await checkAtMostOnce(group)),
    await checkWithdrawnKey(group),
    ...(await checkKilledDaemon(group)),
    await checkEngineMemory(group),
    checkRecordedInvariants(group),
  ];
}

function streamThrough(
  group: DaemonGroup,
  account: 'batinah' | 'lembaga',
  daemonIndex: number,
  name: string,
): Promise<CallerResult> {
  const {plan} = group.daemons[daemonIndex]!;
  return group.caller.stream({
    request: `${account}-${name}`,
    host: plan.host,
    address: plan.callers,
    key: sampleKeys[account],
    model: sampleModel,
    prompt: `check bulletin ${name} against the style guide`,
    maximumTokens: streamTokens,
  });
}

async function checkAtMostOnce(group: DaemonGroup): Promise<CheckResult[]> {
  const answers = [];
  for (const index of [0, 1]) {
    const {plan} = group.daemons[index]!;
    answers.push(
      await group.caller.call({
        request: `release-${index}`,
        host: plan.host,
        address: plan.callers,
        key: sampleKeys.batinah,
        account: 'batinah',
        route: 'kit-releases',
        path: '/kit-releases/7',
        idempotencyKey: 'release-7',
      }),
    );
  }
  const [first, second] = answers;
  const runs = group.fleet.service.runs.length;
  return [
    {
      description: 'a kit release sent through two hosts',
      observed: `executed ${runs} time(s)`,
      hasPassed: runs === 1,
    },
    {
      description: 'the second response equals the recorded outcome',
      observed: `${second!.status} ${second!.text}`,
      hasPassed: first!.text !== '' && first!.text === second!.text,
    },
  ];
}

async function checkWithdrawnKey(group: DaemonGroup): Promise<CheckResult> {
  const {plan} = group.daemons[2]!;
  const result = await group.caller.call({
    request: 'withdrawn-key',
    host: plan.host,
    address: plan.callers,
    key: sampleKeys.withdrawn,
    account: 'batinah',
    route: 'orders',
    path: '/orders/17',
  });
  return {
    description: 'response to a call with a withdrawn key',
    observed: `${result.status} ${result.code}`,
    hasPassed: result.code === 'unknown-key',
  };
}

async function checkKilledDaemon(group: DaemonGroup): Promise<CheckResult[]> {
  const streams = (['batinah', 'lembaga'] as const).flatMap(account =>
    Array.from({length: streamsPerAccount}, (_, index) => ({
      daemonIndex: index % group.daemons.length,
      result: streamThrough(
        group,
        account,
        index % group.daemons.length,
        `stream-${index}`,
      ),
    })),
  );
  await sleep(killAfterMilliseconds);
  const killedDaemon = group.daemons[2]!;
  killedDaemon.signal('SIGKILL');
  const survivingStreams = streams.filter(({daemonIndex}) => daemonIndex !== 2);
  const results = await Promise.all(survivingStreams.map(({result}) => result));
  const wholeCount = results.filter(
    ({answer}) => answer.kind === 'whole',
  ).length;
  killedDaemon.start();
  await killedDaemon.waitUntilReady();
  const afterRestart = await streamThrough(
    group,
    'lembaga',
    2,
    'after-restart',
  );
  return [
    {
      description: 'streams on the other hosts after one is killed',
      observed: `${wholeCount} of ${results.length} complete`,
      hasPassed: wholeCount === results.length,
    },
    {
      description: 'a stream through the restarted host',
      observed: afterRestart.answer.kind,
      hasPassed: afterRestart.answer.kind === 'whole',
    },
  ];
}

async function checkEngineMemory(group: DaemonGroup): Promise<CheckResult> {
  const start = performance.now();
  while (
    group.heldTokens > 0 &&
    performance.now() - start < memoryTimeoutMilliseconds
  )
    await sleep(pollIntervalMilliseconds);
  return {
    description: 'engine memory held at the end',
    observed: `${group.heldTokens} tokens`,
    hasPassed: group.heldTokens === 0,
  };
}

function checkRecordedInvariants(group: DaemonGroup): CheckResult {
  const violations = group.recorder.check(defaultInvariantBounds);
  return {
    description: 'violated invariants',
    observed: violations.map(({detail}) => detail).join('; ') || 'none',
    hasPassed: violations.length === 0,
  };
}

const group = await DaemonGroup.start();
try {
  const checkResults = await runDemo(group);
  for (const {description, observed, hasPassed} of checkResults)
    process.stdout.write(
      `${hasPassed ? 'pass' : 'FAIL'}  ${description.padEnd(50)} ${observed}\n`,
    );
  process.exitCode = checkResults.every(({hasPassed}) => hasPassed) ? 0 : 1;
} finally {
  await group.close();
}
