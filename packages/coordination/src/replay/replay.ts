/** Runs a trace and compares its results with the expected outcomes. */

import type {Trace, TraceOutcome} from '../generated/trace.js';
import {checkInvariants} from '../invariants/check-invariants.js';
import type {InvariantViolation} from '../invariants/check-invariants.js';
import {eventsOf} from '../invariants/run-event.js';
import {runTrace} from './run-trace.js';
import type {TraceRun} from './run-trace.js';
import type {TraceAnswer} from './trace-recorder.js';

/** A difference between an expected and an actual result. */
export interface TraceMismatch {
  /** The name of a request or of a measure. */
  readonly subject: string;
  readonly expected: string;
  readonly got: string;
}

/** The result of comparing one trace with its expected outcomes. */
export interface ReplayResult {
  readonly name: string;
  readonly seed: number;
  readonly mismatches: readonly TraceMismatch[];
  readonly violations: readonly InvariantViolation[];
}

/** Runs `trace` and reports mismatches and violated invariants. */
export async function replayTrace(trace: Trace): Promise<ReplayResult> {
  const run = await runTrace(trace);
  return {
    name: trace.name,
    seed: trace.seed,
    mismatches: [
      ...trace.outcomes.flatMap(outcome => compareOutcome(outcome, run)),
      ...compareMeasures(trace, run),
    ],
    violations: checkInvariants(run.recorder.events),
  };
}

function compareOutcome(
  outcome: TraceOutcome,
  {recorder}: TraceRun,
): TraceMismatch[] {
  const requests = eventsOf(recorder.events, 'request-received')
    .map(({request}) => request)
    .filter(request => isRequestOf(request, outcome.request));
  return requests.flatMap(request => {
    const answer = recorder.answers.get(request);
    if (answer !== undefined && isExpected(outcome, answer)) return [];
    return {
      subject: request,
      expected: outcome.answers
        .map(value => JSON.stringify(value))
        .join(' or '),
      got: JSON.stringify(answer ?? 'no answer before the end of the trace'),
    };
  });
}

/** Whether `request` is the request `name` or one of its repetitions. */
function isRequestOf(request: string, name: string): boolean {
  if (request === name) return true;
  return (
    request.startsWith(`${name}-`) &&
    /^\d+$/.test(request.slice(name.length + 1))
  );
}

function isExpected({answers}: TraceOutcome, answer: TraceAnswer): boolean {
  return answers.some(expected => {
    if (expected.kind !== 'failed' || answer.kind !== 'failed')
      return expected.kind === answer.kind;
    const isSameCode =
      expected.code === undefined || expected.code === answer.code;
    return isSameCode && expected.ran === answer.ran;
  });
}

function compareMeasures({measures}: Trace, run: TraceRun): TraceMismatch[] {
  const {recorder, heldTokens, lowestVersion} = run;
  const answers = [...recorder.answers.values()];
  const executedCalls = eventsOf(recorder.events, 'upstream-ran').filter(
    ({phase}) => phase === 'call',
  ).length;
  const wholeAnswers = answers.filter(({kind}) => kind === 'whole').length;
  const refusedRequests = answers.filter(
    answer => answer.kind === 'failed' && answer.ran === 'not-run',
  ).length;
  const {
    serviceRuns,
    atMostServiceRuns,
    heldTokensAtEnd,
    versionAtEnd,
    atLeastWhole,
    atLeastRefused,
  } = measures ?? {};
  return [
    ...compareMeasure(
      'serviceRuns',
      serviceRuns,
      executedCalls,
      (expected, actual) => expected === actual,
    ),
    ...compareMeasure(
      'atMostServiceRuns',
      atMostServiceRuns,
      executedCalls,
      (expected, actual) => actual <= expected,
    ),
    ...compareMeasure(
      'heldTokensAtEnd',
      heldTokensAtEnd,
      heldTokens,
      (expected, actual) => expected === actual,
    ),
    ...compareMeasure(
      'versionAtEnd',
      versionAtEnd,
      Number(lowestVersion),
      (expected, actual) => expected === actual,
    ),
    ...compareMeasure(
      'atLeastWhole',
      atLeastWhole,
      wholeAnswers,
      (expected, actual) => actual >= expected,
    ),
    ...compareMeasure(
      'atLeastRefused',
      atLeastRefused,
      refusedRequests,
      (expected, actual) => actual >= expected,
    ),
  ];
}

function compareMeasure(
  subject: string,
  expected: number | undefined,
  actual: number,
  isMet: (expected: number, actual: number) => boolean,
): TraceMismatch[] {
  if (expected === undefined || isMet(expected, actual)) return [];
  return [{subject, expected: String(expected), got: String(actual)}];
}
