/** Validates settings files and configuration documents. */

import {
  buildConfiguration,
  documentKey,
  findConfigurationWarnings,
  parseSettings,
} from '@persimmonwick/coordination';
import type {DocumentFault} from '@persimmonwick/coordination';
import {readDocuments} from './document-file.js';
import type {FileDocument, FileFault} from './document-file.js';

/** Result of validating a set of files. */
export interface CheckReport {
  readonly settingsFiles: number;
  readonly configurationDocuments: number;
  readonly faults: readonly FileFault[];
  /** Valid entries that are probably mistakes or have no effect. */
  readonly warnings: readonly FileFault[];
  readonly unreadable: ReadonlyArray<{
    readonly file: string;
    readonly reason: string;
  }>;
}

/** Longer values are truncated in the report. */
const maximumValueCharacters = 80;

/** Validates `files`. All configuration documents together form one version. */
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
  const configuration = documents.filter(({value}) =>
    isConfigurationDocument(value),
  );
  const settings = documents.filter(
    ({value}) => !isConfigurationDocument(value),
  );
  faults.push(...settings.flatMap(checkSettings));
  faults.push(
    ...findDuplicates(configuration),
    ...checkConfiguration(configuration),
  );
  return {
    settingsFiles: settings.length,
    configurationDocuments: configuration.length,
    faults,
    warnings: findWarnings(configuration),
    unreadable,
  };
}

function isConfigurationDocument(
  value: unknown,
): value is {kind: string; name: string} {
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
    : built.error.map(fault => toFileFault(documents, fault));
}

function findWarnings(documents: readonly FileDocument[]): FileFault[] {
  const values = documents.map(({value}) => value);
  const built = buildConfiguration(1n, values);
  if (built.isErr) return [];
  return findConfigurationWarnings(built.value).map(warning =>
    toFileFault(documents, warning),
  );
}

function toFileFault(
  documents: readonly FileDocument[],
  {document, field, reason}: DocumentFault,
): FileFault {
  const source = documents.find(
    ({value}) =>
      isConfigurationDocument(value) && documentKey(value) === document,
  );
  return {
    file: source?.file ?? '',
    path: `${document}${field}`,
    value: formatValue(resolvePointer(source?.value, field)),
    expected: reason,
  };
}

function findDuplicates(documents: readonly FileDocument[]): FileFault[] {
  const faults: FileFault[] = [];
  const firstByKey = new Map<string, FileDocument>();
  for (const document of documents) {
    if (!isConfigurationDocument(document.value)) continue;
    const key = documentKey(document.value);
    const first = firstByKey.get(key);
    if (first !== undefined)
      faults.push({
        file: document.file,
        path: key,
        value: `a second document, at line ${document.line}`,
        expected: `a single document; the first is in ${first.file} at line ${first.line}`,
      });
    else firstByKey.set(key, document);
  }
  return faults;
}

/** Resolves a JSON Pointer without escape sequences. */
function resolvePointer(root: unknown, pointer: string): unknown {
  return pointer
    .split('/')
    .slice(1)
    .filter(key => key !== '')
    .reduce<unknown>(
      (value, key) => (value as Record<string, unknown> | undefined)?.[key],
      root,
    );
}

function formatValue(value: unknown): string {
  return JSON.stringify(value)?.slice(0, maximumValueCharacters) ?? 'absent';
}
