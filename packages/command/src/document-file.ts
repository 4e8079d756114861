/** Reads settings and configuration documents from YAML files. */

import {readFileSync} from 'node:fs';
import {LineCounter, parseAllDocuments} from 'yaml';

/** A fault found in a file. */
export interface FileFault {
  readonly file: string;
  /** Location of the fault: document and field, or line. */
  readonly path: string;
  readonly value: string;
  /** Requirement that the value violates or, in a warning, its description. */
  readonly expected: string;
}

/** One YAML document of a file. */
export interface FileDocument {
  readonly file: string;
  readonly line: number;
  readonly value: unknown;
}

/** Longer values are truncated in reports. */
const maximumValueCharacters = 80;

/** Result of reading a file. */
export type FileContent =
  | {readonly kind: 'unreadable'; readonly reason: string}
  | {readonly kind: 'malformed'; readonly faults: readonly FileFault[]}
  | {readonly kind: 'documents'; readonly documents: readonly FileDocument[]};

/** Reads all documents of `file`. */
export function readDocuments(file: string): FileContent {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? 'unreadable';
    return {kind: 'unreadable', reason};
  }
  const lineCounter = new LineCounter();
  const parsed = parseAllDocuments(text, {lineCounter});
  const documents = Array.isArray(parsed) ? parsed : [];
  const faults = documents.flatMap(document =>
    document.errors.map(error => ({
      file,
      path: `line ${error.linePos?.[0].line ?? '?'}`,
      value: error.message.split('\n')[0]!,
      expected: 'YAML without errors',
    })),
  );
  if (faults.length > 0) return {kind: 'malformed', faults};
  const nonEmpty = documents
    .map(document => ({
      file,
      line: lineCounter.linePos(
        document.contents?.range?.[0] ?? document.range[0],
      ).line,
      value: document.toJS() as unknown,
    }))
    .filter(({value}) => value !== null);
  if (nonEmpty.length > 0) return {kind: 'documents', documents: nonEmpty};
  const expected = 'settings or configuration documents';
  return {
    kind: 'malformed',
    faults: [{file, path: '/', value: 'an empty file', expected}],
  };
}

/** Formats a value of a document for a report. */
export function formatValue(value: unknown): string {
  return JSON.stringify(value)?.slice(0, maximumValueCharacters) ?? 'absent';
}
