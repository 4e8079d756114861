/** Validates settings files and configuration documents. */

import {
  buildConfiguration,
  compareConfigurations,
  documentKey,
  findConfigurationWarnings,
  findContradictoryLimits,
  findUnreachableEntries,
  parseSettings,
} from '@persimmonwick/coordination';
import type {
  Configuration,
  DocumentDifference,
  DocumentFault,
} from '@persimmonwick/coordination';
import type {Result} from 'true-myth';
import {formatValue, readDocuments} from './document-file.js';
import type {FileDocument, FileFault} from './document-file.js';

/** Result of validating a set of files. */
export interface CheckReport {
  readonly settingsFiles: number;
  readonly configurationDocuments: number;
  readonly faults: readonly FileFault[];
  /** Valid entries that no call can ever use. */
  readonly unreachable: readonly FileFault[];
  /** Valid limits that contradict each other. */
  readonly contradictions: readonly FileFault[];
  /** Valid entries that are probably mistakes or have no effect. */
  readonly warnings: readonly FileFault[];
  /** Differences from the version in force; undefined without one. */
  readonly differences: readonly DocumentDifference[] | undefined;
  readonly unreadable: ReadonlyArray<{
    readonly file: string;
    readonly reason: string;
  }>;
}

/** Documents of a set of files, and the files without usable ones. */
interface FileSet {
  readonly documents: readonly FileDocument[];
  readonly faults: readonly FileFault[];
  readonly unreadable: CheckReport['unreadable'];
}

/**
 * Validates `files`. All configuration documents together form one version. It
 * is compared with the documents of `filesInForce`, if there are any.
 */
export function checkFiles(
  files: readonly string[],
  filesInForce: readonly string[] = [],
): CheckReport {
  const {documents, faults, unreadable} = readFiles(files);
  const inForce = readFiles(filesInForce);
  const published = documents.filter(({value}) =>
    isConfigurationDocument(value),
  );
  const settings = documents.filter(
    ({value}) => !isConfigurationDocument(value),
  );
  const configuration = build(published);
  const configurationInForce = build(
    inForce.documents.filter(({value}) => isConfigurationDocument(value)),
  );
  const find = (check: (valid: Configuration) => DocumentFault[]) =>
    configuration.isOk
      ? check(configuration.value).map(fault => toFileFault(published, fault))
      : [];
  return {
    settingsFiles: settings.length,
    configurationDocuments: published.length,
    faults: [
      ...faults,
      ...inForce.faults,
      ...settings.flatMap(checkSettings),
      ...findDuplicates(published),
      ...(configuration.isErr ? configuration.error : []),
      ...(configurationInForce.isErr ? configurationInForce.error : []),
    ],
    unreachable: find(findUnreachableEntries),
    contradictions: find(findContradictoryLimits),
    warnings: find(findConfigurationWarnings),
    differences:
      filesInForce.length > 0 && configuration.isOk && configurationInForce.isOk
        ? compareConfigurations(configurationInForce.value, configuration.value)
        : undefined,
    unreadable: [...unreadable, ...inForce.unreadable],
  };
}

function readFiles(files: readonly string[]): FileSet {
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
  return {documents, faults, unreadable};
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

function build(
  documents: readonly FileDocument[],
): Result<Configuration, FileFault[]> {
  const values = documents.map(({value}) => value);
  return buildConfiguration(1n, values).mapErr(faults =>
    faults.map(fault => toFileFault(documents, fault)),
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
