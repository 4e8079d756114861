/** Reads the daemon's log lines out of files. */

import {readFileSync} from 'node:fs';

/** One event of one host. */
export interface LogLine {
  readonly file: string;
  readonly host: string;
  /** Milliseconds since the Unix epoch, by the host's clock. */
  readonly time: number;
  /** Order of the lines of one process. */
  readonly sequence: number;
  readonly name: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, string | number>>;
}

/** What the files hold. */
export interface LogContent {
  readonly lines: readonly LogLine[];
  /** Lines that hosts left out because nobody read them in time, by file. */
  readonly dropped: ReadonlyMap<string, number>;
}

/** Fields of a line that describe the line itself. */
const lineFields = new Set([
  'application',
  'host',
  'event',
  'name',
  'logLevel',
]);

/** True for the line that ends a request. */
export function isEnding({name}: LogLine): boolean {
  return name === 'requestFinished' || name === 'requestFailed';
}

/** Reads `files`; throws the error of a file that can't be read. */
export function readLogFiles(files: readonly string[]): LogContent {
  const lines: LogLine[] = [];
  const dropped = new Map<string, number>();
  for (const file of new Set(files))
    for (const text of readFileSync(file, 'utf8').split('\n')) {
      if (text.trim() === '') continue;
      const value = parseLine(text);
      const line = value === undefined ? undefined : lineOf(file, value);
      if (line !== undefined) lines.push(line);
      else if (typeof value?.['dropped'] === 'number')
        dropped.set(file, (dropped.get(file) ?? 0) + value['dropped']);
    }
  return {lines, dropped};
}

/** A collector may have put its own words before the JSON. */
function parseLine(text: string): Record<string, unknown> | undefined {
  const start = text.indexOf('{');
  if (start === -1) return undefined;
  try {
    return JSON.parse(text.slice(start)) as Record<string, unknown>;
  } catch {
    // Other programs write to the same files.
    return undefined;
  }
}

function lineOf(
  file: string,
  value: Record<string, unknown>,
): LogLine | undefined {
  const {context, time, sequence, message} = value;
  if (typeof context !== 'object' || context === null) return undefined;
  const all = context as Record<string, string | number>;
  const {name, host} = all;
  if (typeof name !== 'string' || typeof time !== 'number') return undefined;
  return {
    file,
    host: String(host),
    time,
    sequence: Number.parseInt(String(sequence), 10) || 0,
    name,
    message: String(message),
    fields: Object.fromEntries(
      Object.entries(all).filter(([key]) => !lineFields.has(key)),
    ),
  };
}
