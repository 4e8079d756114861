/** Says in a sentence how a request ended, from its lines in order. */

import {isEnding} from './log-lines.js';
import type {LogLine} from './log-lines.js';

type Fields = LogLine['fields'];

/** How the request of `lines` ended and why. */
export function explainEnd(lines: readonly LogLine[]): string {
  const end = lines.findLast(isEnding);
  if (lines.length === 0) return 'Nothing is known of it.';
  if (end === undefined) return explainNoEnd(lines);
  if (end.name === 'requestFinished')
    return (
      `Answered whole with ${end.fields['status']} after ` +
      `${end.fields['milliseconds']} ms${answeredBy(lines)}.`
    );
  return `${explainFailure(String(end.fields['code']), lines)} It ${ranOf(end.fields)}.`;
}

function explainNoEnd(lines: readonly LogLine[]): string {
  const last = lastOf(lines, 'callStageDone');
  const where = last === undefined ? '' : `, last at ${last['upstream']}`;
  return `It was being handled by ${lines.at(-1)!.host}${where}; how it ended is not in the logs.`;
}

function explainFailure(code: string, lines: readonly LogLine[]): string {
  switch (code) {
    case 'rate-exceeded':
      return explainRate(lastOf(lines, 'callOverRate'));
    case 'queue-full':
      return explainFull(lines);
    case 'no-upstream':
      return 'Refused: no live upstream took it.';
    case 'not-ready':
      return 'Refused: the host had no configuration that was shown to be new enough; look for platformLost before it.';
    case 'caller-gone':
      return `Its caller left${answeredBy(lines)}.`;
    case 'upstream-failed':
    case 'upstream-timeout':
      return explainBroken(lines);
    default:
      return `Refused or failed as ${code}.`;
  }
}

function explainRate(refusal: Fields | undefined): string {
  if (refusal === undefined) return 'Refused by the rate of its account.';
  const {account, tokens, level, tokensPerSecond, share} = refusal;
  return (
    `Refused: account ${account} had ${level} tokens left for a call of ${tokens}, ` +
    `at ${tokensPerSecond} tokens a second of which this host may use ${share}.`
  );
}

function explainFull(lines: readonly LogLine[]): string {
  const asked = stages(lines, 'reserve');
  if (asked.length === 0)
    return 'Refused: every engine looked full by what hosts told, or could not be reached.';
  const counts = new Map<string, number>();
  for (const {outcome} of asked)
    counts.set(String(outcome), (counts.get(String(outcome)) ?? 0) + 1);
  const outcomes = [...counts].map(([outcome, count]) => `${count} ${outcome}`);
  return `Refused: no engine gave it memory in time; of ${asked.length} asked, ${outcomes.join(', ')}.`;
}

function explainBroken(lines: readonly LogLine[]): string {
  const run = stages(lines, 'run').at(-1);
  if (run === undefined) return 'Failed before an upstream ran it.';
  const why = lines.some(({name}) => name === 'callRetryWithheld')
    ? 'the retry budget was used up'
    : 'the route allows no further run';
  const {upstream, outcome} = run;
  const what = /^\d+$/.test(String(outcome))
    ? `The answer of ${upstream} broke off`
    : `Failed at ${upstream} (${outcome})`;
  return `${what}; not sent again because ${why}.`;
}

function ranOf({ran}: Fields): string {
  switch (ran) {
    case 'not-run':
      return 'did not run';
    case 'ran':
      return 'ran';
    default:
      return 'may have run: only the upstream can tell';
  }
}

function answeredBy(lines: readonly LogLine[]): string {
  const run = stages(lines, 'run').at(-1);
  return run === undefined ? '' : `, last sent to ${run['upstream']}`;
}

function stages(lines: readonly LogLine[], purpose: string): Fields[] {
  return lines
    .filter(
      ({name, fields}) =>
        name === 'callStageDone' && fields['purpose'] === purpose,
    )
    .map(({fields}) => fields);
}

function lastOf(lines: readonly LogLine[], name: string): Fields | undefined {
  return lines.findLast(line => line.name === name)?.fields;
}
