/** Explains from the ordered log lines of a request how the request ended. */

import {isFinalLine} from './log-lines.js';
import type {LogLine} from './log-lines.js';

type Fields = LogLine['fields'];

/** Explains in a sentence how the request of `lines` ended and why. */
export function explainEnd(lines: readonly LogLine[]): string {
  const end = lines.findLast(isFinalLine);
  if (lines.length === 0)
    return 'Nothing is known of it: no log line names the request.';
  if (end === undefined) return explainMissingEnd(lines);
  if (end.name === 'requestFinished')
    return (
      `Completed with status ${end.fields['status']} after ` +
      `${end.fields['milliseconds']} ms${formatLastAttempt(lines)}.`
    );
  return `${explainFailure(String(end.fields['code']), lines)} It ${formatExecution(end.fields)}.`;
}

function explainMissingEnd(lines: readonly LogLine[]): string {
  const last = lastFieldsOf(lines, 'callStageDone');
  const lastUpstream =
    last === undefined ? '' : `, last upstream ${last['upstream']}`;
  return `Last handled by ${lines.at(-1)!.host}${lastUpstream}; the logs do not show how it ended.`;
}

function explainFailure(code: string, lines: readonly LogLine[]): string {
  switch (code) {
    case 'rate-exceeded':
      return explainRate(lastFieldsOf(lines, 'callOverRate'));
    case 'queue-full':
      return explainQueueFull(lines);
    case 'memory-short':
      return 'Refused: the host had no memory for its body; see event 3135 for what others held.';
    case 'processor-short':
      return 'Refused: the host was short of processor time; see event 1012 in its log.';
    case 'stream-not-resumable':
      return explainTakeUp(lastFieldsOf(lines, 'streamTakenUp'));
    case 'prompt-quarantined':
    case 'request-quarantined':
      return explainQuarantine(lastFieldsOf(lines, 'callQuarantined'));
    case 'no-upstream':
      return 'Refused: no live upstream accepted it.';
    case 'not-ready':
      return 'Refused: the host could not confirm that its configuration was current; see the last platformLost line in its log.';
    case 'caller-gone':
      return `The caller disconnected${formatLastAttempt(lines)}.`;
    case 'connection-closed':
      return `This host ended the caller's connection${formatLastAttempt(lines)}; see event 3132 for the reason.`;
    case 'upstream-failed':
    case 'upstream-timeout':
      return explainUpstreamFailure(lines);
    default:
      return `Refused or failed with code ${code}.`;
  }
}

function explainRate(refusal: Fields | undefined): string {
  if (refusal === undefined) return 'Refused by the rate limit of its account.';
  const {account, tokens, level, tokensPerSecond, share} = refusal;
  return (
    `Refused: account ${account} had ${level} tokens available for a call of ${tokens}, ` +
    `at a rate of ${tokensPerSecond} tokens per second, of which the share of this host is ${share}.`
  );
}

function explainQuarantine(refusal: Fields | undefined): string {
  if (refusal === undefined) return 'Refused: it is in quarantine.';
  const {part, remaining} = refusal;
  return `Refused: upstreams went down on ${part}, which is in quarantine for ${remaining} ms more.`;
}

function explainTakeUp(taken: Fields | undefined): string {
  if (taken === undefined) return 'Refused: the stream can not be taken up.';
  const {origin, outcome, pool, softwareVersion} = taken;
  return outcome === 'unknown-origin'
    ? `Refused: no host knows which software version began the stream of ${origin}.`
    : `Refused: the stream of ${origin} was begun by version ${softwareVersion} of ${pool}, which no longer serves it (${outcome}).`;
}

function explainQueueFull(lines: readonly LogLine[]): string {
  const limited = lastFieldsOf(lines, 'callLimited');
  if (limited !== undefined)
    return `Refused: its upstreams have reached the limits that they named; the next request may go in ${limited['wait']} ms.`;
  const reservations = stageFields(lines, 'reserve');
  if (reservations.length === 0)
    return 'Refused: every engine was reported full or was unreachable.';
  const counts = new Map<string, number>();
  for (const {outcome} of reservations)
    counts.set(String(outcome), (counts.get(String(outcome)) ?? 0) + 1);
  const outcomes = [...counts].map(([outcome, count]) => `${count} ${outcome}`);
  return `Refused: no engine granted a reservation in time; of ${reservations.length} asked, ${outcomes.join(', ')}.`;
}

function explainUpstreamFailure(lines: readonly LogLine[]): string {
  const lastAttempt = stageFields(lines, 'run').at(-1);
  if (lastAttempt === undefined)
    return 'Failed before it was sent to an upstream.';
  const withheld = lastFieldsOf(lines, 'callRetryWithheld');
  const reason = explainLimit(withheld?.['limit']);
  const {upstream, outcome} = lastAttempt;
  const failure = /^\d+$/.test(String(outcome))
    ? `The answer of ${upstream} broke off`
    : `Failed at ${upstream} (${outcome})`;
  return `${failure}; not retried because ${reason}.`;
}

/** Lines of older versions name no limit. */
function explainLimit(limit: string | number | undefined): string {
  switch (limit) {
    case 'budget':
      return 'the retry budget was used up';
    case 'deadline':
      return 'its deadline had passed';
    case 'attempts':
      return 'it had been sent to the maximum number of upstreams';
    case 'route':
      return 'the route allows no further run';
    case 'capacity':
      return 'no engine took it in time';
    case 'version':
      return 'no engine of the software version that began the stream serves any more';
    case 'prompt':
      return 'an upstream went down before it answered, and the request may be the cause';
    default:
      return 'no upstream was left or the logs do not show the limit';
  }
}

function formatExecution({ran}: Fields): string {
  switch (ran) {
    case 'not-run':
      return 'did not run';
    case 'ran':
      return 'ran';
    default:
      return 'may have run: only the upstream can tell';
  }
}

function formatLastAttempt(lines: readonly LogLine[]): string {
  const lastAttempt = stageFields(lines, 'run').at(-1);
  return lastAttempt === undefined
    ? ''
    : `, last attempt at ${lastAttempt['upstream']}`;
}

function stageFields(lines: readonly LogLine[], purpose: string): Fields[] {
  return lines
    .filter(
      ({name, fields}) =>
        name === 'callStageDone' && fields['purpose'] === purpose,
    )
    .map(({fields}) => fields);
}

function lastFieldsOf(
  lines: readonly LogLine[],
  name: string,
): Fields | undefined {
  return lines.findLast(line => line.name === name)?.fields;
}
