/** Reading of YAML files with settings or configuration documents. */

import {readFileSync} from 'node:fs';
import {parseAllDocuments} from 'yaml';

/** One fault of a checked file. */
export interface FileFault {
  readonly file: string;
  /** Document and field. */
  readonly path: string;
  readonly value: string;
  readonly expected: string;
}

/** One YAML document of a file. */
export interface FileDocument {
  readonly file: string;
  readonly line: number;
  readonly value: unknown;
}

/** What a file holds. */
export type FileContent =
  | {readonly kind: 'unreadable'; readonly reason: string}
  | {readonly kind: 'malformed'; readonly faults: readonly FileFault[]}
  | {readonly kind: 'documents'; readonly documents: readonly FileDocument[]};

/** Reads every document of `file`. */
export function readDocuments(file: string): FileContent {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? 'unreadable';
    return {kind: 'unreadable', reason};
  }
  const parsed = parseAllDocuments(text);
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
  const found = documents
    .map(document => ({
      file,
      line: lineAt(text, document.contents?.range?.[0] ?? document.range[0]),
      value: document.toJS() as unknown,
    }))
    .filter(({value}) => value !== null);
  if (found.length > 0) return {kind: 'documents', documents: found};
  const expected = 'settings or configuration documents';
  return {
    kind: 'malformed',
    faults: [{file, path: '/', value: 'an empty file', expected}],
  };
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
