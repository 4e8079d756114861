/** Checks settings files, and configuration documents against each other. */

import {
  buildConfiguration,
  documentKey,
  findConfigurationWarnings,
  parseSettings,
} from '@persimmonwick/coordination';
import type {DocumentFault} from '@persimmonwick/coordination';
import {readDocuments} from './document-file.js';
import type {FileDocument, FileFault} from './document-file.js';

/** What a check found. */
export interface CheckReport {
  readonly settingsFiles: number;
  readonly configurationDocuments: number;
  readonly faults: readonly FileFault[];
  /** What is allowed and likely a mistake, or without effect. */
  readonly warnings: readonly FileFault[];
  readonly unreadable: ReadonlyArray<{
    readonly file: string;
    readonly reason: string;
  }>;
}

const maximumValueLength = 80;

/** Checks `files`; all configuration documents count as one version. */
export function checkFiles(files: readonly string[]): CheckReport {
  const documents: FileDocument[] = [];
  const faults: FileFault[] = [];
  const unreadable: Array<{file: string; reason: string}> = [];
  for (const file of new Set(files)) {
    const content = readDocuments(file);
    switch (content.kind) {
      case 'unreadable':
        unreadable.push({file, reason: content.reason});
        break;
      case 'malformed':
        faults.push(...content.faults);
        break;
      case 'documents':
        documents.push(...content.documents);
    }
  }
  const published = documents.filter(({value}) => hasKind(value));
  const settings = documents.filter(({value}) => !hasKind(value));
  faults.push(...settings.flatMap(checkSettings));
  faults.push(...findRepeated(published), ...checkConfiguration(published));
  return {
    settingsFiles: settings.length,
    configurationDocuments: published.length,
    faults,
    warnings: warnOfConfiguration(published),
    unreadable,
  };
}

function hasKind(value: unknown): value is {kind: string; name: string} {
  return value !== null && typeof value === 'object' && 'kind' in value;
}

function checkSettings({file, value}: FileDocument): FileFault[] {
  const parsed = parseSettings(value);
  return parsed.isOk ? [] : parsed.error.map(fault => ({file, ...fault}));
}

function checkConfiguration(documents: readonly FileDocument[]): FileFault[] {
  if (documents.length === 0) return [];
  const values = documents.map(({value}) => value);
  const built = buildConfiguration(1n, values);
  return built.isOk
    ? []
    : built.error.map(fault => describeFault(documents, fault));
}

function warnOfConfiguration(documents: readonly FileDocument[]): FileFault[] {
  const values = documents.map(({value}) => value);
  const built = buildConfiguration(1n, values);
  if (built.isErr) return [];
  return findConfigurationWarnings(built.value).map(warning =>
    describeFault(documents, warning),
  );
}

function describeFault(
  documents: readonly FileDocument[],
  {document, field, reason}: DocumentFault,
): FileFault {
  const source = documents.find(
    ({value}) => hasKind(value) && documentKey(value) === document,
  );
  return {
    file: source?.file ?? '',
    path: `${document}${field}`,
    value: shorten(valueAt(source?.value, field)),
    expected: reason,
  };
}

function findRepeated(documents: readonly FileDocument[]): FileFault[] {
  const faults: FileFault[] = [];
  const seen = new Map<string, FileDocument>();
  for (const document of documents) {
    if (!hasKind(document.value)) continue;
    const key = documentKey(document.value);
    const first = seen.get(key);
    if (first !== undefined)
      faults.push({
        file: document.file,
        path: key,
        value: `a second document, at line ${document.line}`,
        expected: `one; the first is in ${first.file} at line ${first.line}`,
      });
    else seen.set(key, document);
  }
  return faults;
}

function valueAt(root: unknown, pointer: string): unknown {
  return pointer
    .split('/')
    .slice(1)
    .filter(key => key !== '')
    .reduce<unknown>(
      (value, key) => (value as Record<string, unknown> | undefined)?.[key],
      root,
    );
}

function shorten(value: unknown): string {
  return JSON.stringify(value)?.slice(0, maximumValueLength) ?? 'absent';
}
