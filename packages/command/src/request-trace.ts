/** Reconstructs the path of one request across hosts from their log lines. */

import {explainEnd} from './explain-end.js';
import {isFinalLine} from './log-lines.js';
import type {LogContent, LogLine} from './log-lines.js';

/** The log lines of one request and their interpretation. */
export interface RequestTrace {
  readonly request: string;
  /** Log lines of the request, ordered by time. */
  readonly lines: readonly LogLine[];
  /** Gaps in the log: missing lines, dropped lines and process restarts. */
  readonly missing: readonly string[];
  /** Sentence that explains how the request ended and why. */
  readonly explanation: string;
}

const admissionEvents = new Set(['callAdmitted', 'callOverRate']);

/** Selects, orders and interprets the log lines of `request`. */
export function traceRequest(
  {lines: allLines, dropped}: LogContent,
  request: string,
): RequestTrace {
  const lines = allLines
    .filter(({fields}) => fields['request'] === request)
    .sort(
      (left, right) => left.time - right.time || left.sequence - right.sequence,
    );
  const missing = [
    ...findMissingLines(lines),
    ...describeRestart(allLines, lines),
    ...[...dropped].map(
      ([file, count]) => `${file}: the host left out ${count} lines`,
    ),
  ];
  return {request, lines, missing, explanation: explainEnd(lines)};
}

function findMissingLines(lines: readonly LogLine[]): string[] {
  if (lines.length === 0) return ['no log line mentions the request'];
  const missing: string[] = [];
  const isRejectedBeforeAdmission = lines[0]!.name === 'requestFailed';
  if (
    !isRejectedBeforeAdmission &&
    !lines.some(({name}) => admissionEvents.has(name))
  )
    missing.push('no line says that it was admitted');
  for (const {fields} of findUnfinishedStages(lines))
    missing.push(
      `no line says what became of ${fields['purpose']} at ${fields['upstream']}`,
    );
  if (!lines.some(isFinalLine)) missing.push('no line says how it ended');
  return missing;
}

/** Finds `upstreamChosen` lines without a matching `callStageDone` line. */
function findUnfinishedStages(lines: readonly LogLine[]): LogLine[] {
  const unfinished: LogLine[] = [];
  for (const line of lines) {
    if (line.name === 'upstreamChosen') unfinished.push(line);
    if (line.name !== 'callStageDone') continue;
    const index = unfinished.findIndex(
      ({fields}) =>
        fields['purpose'] === line.fields['purpose'] &&
        fields['upstream'] === line.fields['upstream'],
    );
    if (index !== -1) unfinished.splice(index, 1);
  }
  return unfinished;
}

/**
 * If the request has no final line, describes a restart of the host that logged
 * its last line. Daemons log `daemonStarted` or `passthroughStarted` at startup.
 */
function describeRestart(
  allLines: readonly LogLine[],
  lines: readonly LogLine[],
): string[] {
  const last = lines.at(-1);
  if (last === undefined || isFinalLine(last)) return [];
  const restart = allLines.find(
    ({host, name, time}) =>
      host === last.host && time > last.time && name.endsWith('Started'),
  );
  if (restart === undefined) return [];
  const seconds = ((restart.time - last.time) / 1000).toFixed(1);
  return [
    `${last.host} started again ${seconds} s after its last line: its process ` +
      'terminated while it handled the request',
  ];
}
