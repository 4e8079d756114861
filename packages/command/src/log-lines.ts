/** Reads log lines of the daemon from files. */

import {readFileSync} from 'node:fs';

/** A log line: one event at one host. */
export interface LogLine {
  readonly file: string;
  readonly host: string;
  /** Milliseconds since the Unix epoch, by the host's clock. */
  readonly time: number;
  /** Position among the lines of one process. */
  readonly sequence: number;
  readonly name: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, string | number>>;
}

/** Contents of a set of log files. */
export interface LogContent {
  readonly lines: readonly LogLine[];
  /**
   * Number of lines per file that hosts dropped because their log output was not
   * read in time.
   */
  readonly dropped: ReadonlyMap<string, number>;
}

/** Fields that describe the line itself, not the event. */
const metadataFields = new Set([
  'application',
  'host',
  'event',
  'name',
  'logLevel',
]);

/** Whether the line records the end of a request. */
export function isFinalLine({name}: LogLine): boolean {
  return name === 'requestFinished' || name === 'requestFailed';
}

/** Reads `files`. Throws if one is unreadable. */
export function readLogFiles(files: readonly string[]): LogContent {
  const lines: LogLine[] = [];
  const dropped = new Map<string, number>();
  for (const file of new Set(files))
    for (const text of readFileSync(file, 'utf8').split('\n')) {
      if (text.trim() === '') continue;
      const value = parseLine(text);
      const line = value === undefined ? undefined : toLogLine(file, value);
      if (line !== undefined) lines.push(line);
      else if (typeof value?.['dropped'] === 'number')
        dropped.set(file, (dropped.get(file) ?? 0) + value['dropped']);
    }
  return {lines, dropped};
}

/** Parses a line. Log collectors may put their own text before the JSON. */
function parseLine(text: string): Record<string, unknown> | undefined {
  const start = text.indexOf('{');
  if (start === -1) return undefined;
  try {
    return JSON.parse(text.slice(start)) as Record<string, unknown>;
  } catch {
    // The line belongs to another program that writes to the same file.
    return undefined;
  }
}

function toLogLine(
  file: string,
  value: Record<string, unknown>,
): LogLine | undefined {
  const {context, time, sequence, message} = value;
  if (typeof context !== 'object' || context === null) return undefined;
  const contextFields = context as Record<string, string | number>;
  const {name, host} = contextFields;
  if (typeof name !== 'string' || typeof time !== 'number') return undefined;
  return {
    file,
    host: String(host),
    time,
    sequence: Number.parseInt(String(sequence), 10) || 0,
    name,
    message: String(message),
    fields: Object.fromEntries(
      Object.entries(contextFields).filter(([key]) => !metadataFields.has(key)),
    ),
  };
}
