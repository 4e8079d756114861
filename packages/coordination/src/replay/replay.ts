/** Compares what a played trace came to with its stated outcomes. */

import type {Trace, TraceOutcome} from '../generated/trace.js';
import {checkInvariants} from '../invariants/check-invariants.js';
import type {Violation} from '../invariants/check-invariants.js';
import {eventsOf} from '../invariants/run-event.js';
import {playTrace} from './play-trace.js';
import type {PlayedTrace} from './play-trace.js';
import type {TraceAnswer} from './trace-recorder.js';

/** An outcome that differs from the stated one. */
export interface Mismatch {
  /** A request, or the name of a measure. */
  readonly subject: string;
  readonly expected: string;
  readonly got: string;
}

/** The comparison of one trace. */
export interface ReplayResult {
  readonly name: string;
  readonly seed: number;
  readonly mismatches: readonly Mismatch[];
  readonly violations: readonly Violation[];
}

/** Plays `trace` and compares. */
export async function replayTrace(trace: Trace): Promise<ReplayResult> {
  const played = await playTrace(trace);
  return {
    name: trace.name,
    seed: trace.seed,
    mismatches: [
      ...trace.outcomes.flatMap(outcome => compareOutcome(outcome, played)),
      ...compareMeasures(trace, played),
    ],
    violations: checkInvariants(played.recorder.events),
  };
}

function compareOutcome(
  outcome: TraceOutcome,
  {recorder}: PlayedTrace,
): Mismatch[] {
  const sent = eventsOf(recorder.events, 'request-received')
    .map(({request}) => request)
    .filter(request => isNamed(request, outcome.request));
  return sent.flatMap(request => {
    const answer = recorder.answers.get(request);
    if (answer !== undefined && isAllowed(outcome, answer)) return [];
    return {
      subject: request,
      expected: outcome.answers.map(each => JSON.stringify(each)).join(' or '),
      got: JSON.stringify(answer ?? 'no answer before the end'),
    };
  });
}

/** True for the request itself and for its repetitions. */
function isNamed(request: string, name: string): boolean {
  if (request === name) return true;
  return (
    request.startsWith(`${name}-`) &&
    /^\d+$/.test(request.slice(name.length + 1))
  );
}

function isAllowed({answers}: TraceOutcome, answer: TraceAnswer): boolean {
  return answers.some(allowed => {
    if (allowed.kind !== 'failed' || answer.kind !== 'failed')
      return allowed.kind === answer.kind;
    const isSameCode =
      allowed.code === undefined || allowed.code === answer.code;
    return isSameCode && allowed.ran === answer.ran;
  });
}

function compareMeasures({measures}: Trace, played: PlayedTrace): Mismatch[] {
  const {recorder, heldTokens, version} = played;
  const answers = [...recorder.answers.values()];
  const runs = eventsOf(recorder.events, 'upstream-ran').filter(
    ({phase}) => phase === 'call',
  ).length;
  const whole = answers.filter(({kind}) => kind === 'whole').length;
  const refused = answers.filter(
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
    ...differ('serviceRuns', serviceRuns, runs, (want, got) => want === got),
    ...differ(
      'atMostServiceRuns',
      atMostServiceRuns,
      runs,
      (want, got) => got <= want,
    ),
    ...differ(
      'heldTokensAtEnd',
      heldTokensAtEnd,
      heldTokens,
      (want, got) => want === got,
    ),
    ...differ(
      'versionAtEnd',
      versionAtEnd,
      Number(version),
      (want, got) => want === got,
    ),
    ...differ('atLeastWhole', atLeastWhole, whole, (want, got) => got >= want),
    ...differ(
      'atLeastRefused',
      atLeastRefused,
      refused,
      (want, got) => got >= want,
    ),
  ];
}

function differ(
  subject: string,
  expected: number | undefined,
  got: number,
  isMet: (expected: number, got: number) => boolean,
): Mismatch[] {
  if (expected === undefined || isMet(expected, got)) return [];
  return [{subject, expected: String(expected), got: String(got)}];
}
