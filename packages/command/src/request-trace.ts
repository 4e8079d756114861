/** The way of one request through the hosts, from their log lines. */

import {explainEnd} from './explain-end.js';
import {isEnding} from './log-lines.js';
import type {LogContent, LogLine} from './log-lines.js';

/** What is known of one request. */
export interface RequestTrace {
  readonly request: string;
  /** Its lines in the order of time. */
  readonly lines: readonly LogLine[];
  /** What the lines should hold and do not, each in a sentence. */
  readonly missing: readonly string[];
  /** How it ended and why, in a sentence. */
  readonly explanation: string;
}

const beginnings = new Set(['callAdmitted', 'callOverRate']);

/** Puts the lines of `request` in order and says what they tell. */
export function traceRequest(
  {lines: all, dropped}: LogContent,
  request: string,
): RequestTrace {
  const lines = all
    .filter(({fields}) => fields['request'] === request)
    .sort(
      (left, right) => left.time - right.time || left.sequence - right.sequence,
    );
  const missing = [
    ...findGaps(lines),
    ...findKills(all, lines),
    ...[...dropped].map(
      ([file, count]) => `${file}: the host left out ${count} lines`,
    ),
  ];
  return {request, lines, missing, explanation: explainEnd(lines)};
}

function findGaps(lines: readonly LogLine[]): string[] {
  if (lines.length === 0) return ['no line of any file names the request'];
  const gaps: string[] = [];
  const isRefusedAtOnce = lines[0]!.name === 'requestFailed';
  if (!isRefusedAtOnce && !lines.some(({name}) => beginnings.has(name)))
    gaps.push('no line says that it was admitted');
  for (const {fields} of unanswered(lines))
    gaps.push(
      `no line says what became of ${fields['purpose']} at ${fields['upstream']}`,
    );
  if (!lines.some(isEnding)) gaps.push('no line says how it ended');
  return gaps;
}

/** Choices of an upstream without an answer of it. */
function unanswered(lines: readonly LogLine[]): LogLine[] {
  const open: LogLine[] = [];
  for (const line of lines) {
    if (line.name === 'upstreamChosen') open.push(line);
    if (line.name !== 'callStageDone') continue;
    const index = open.findIndex(
      ({fields}) =>
        fields['purpose'] === line.fields['purpose'] &&
        fields['upstream'] === line.fields['upstream'],
    );
    if (index !== -1) open.splice(index, 1);
  }
  return open;
}

/** Starts of the request's host after its last line, while it had no end. */
function findKills(
  all: readonly LogLine[],
  lines: readonly LogLine[],
): string[] {
  const last = lines.at(-1);
  if (last === undefined || isEnding(last)) return [];
  const start = all.find(
    ({host, name, time}) =>
      host === last.host && time > last.time && name.endsWith('Started'),
  );
  if (start === undefined) return [];
  const seconds = ((start.time - last.time) / 1000).toFixed(1);
  return [
    `${last.host} started again ${seconds} s after its last line: its process ` +
      'ended with the request in it',
  ];
}
