/**
 * The documents of one published version as they were read. For a malformed
 * document, its faults are kept until a later version replaces or withdraws it.
 */

import type {ConfigurationDocument} from '../generated/documents.js';
import {documentKey, parseDocument} from './documents.js';
import type {DocumentFault} from './documents.js';

/** The publication or withdrawal of one document. */
export type ConfigurationChange =
  | {
      readonly kind: 'publish';
      readonly document: unknown;
      /** The key it is published under, by default the key of the document. */
      readonly key?: string;
    }
  | {readonly kind: 'withdraw'; readonly key: string};

/** Documents by key. Each key is in at most one of the two maps. */
export interface DocumentSet {
  readonly documents: ReadonlyMap<string, ConfigurationDocument>;
  readonly faultsOfMalformed: ReadonlyMap<string, readonly DocumentFault[]>;
}

/** A set that was derived from another one, with the changed document keys. */
export interface ChangedDocumentSet extends DocumentSet {
  readonly changedDocumentKeys: ReadonlySet<string>;
}

export const emptyDocumentSet: DocumentSet = {
  documents: new Map(),
  faultsOfMalformed: new Map(),
};

/** Applies `changes` to `base` in order. */
export function applyToDocumentSet(
  base: DocumentSet,
  changes: readonly ConfigurationChange[],
): ChangedDocumentSet {
  const documents = new Map(base.documents);
  const faultsOfMalformed = new Map(base.faultsOfMalformed);
  const changedDocumentKeys = new Set<string>();
  for (const change of changes) {
    switch (change.kind) {
      case 'withdraw':
        documents.delete(change.key);
        faultsOfMalformed.delete(change.key);
        changedDocumentKeys.add(change.key);
        break;
      case 'publish': {
        const {key, document, faults} = parseChange(change);
        changedDocumentKeys.add(key);
        if (document === undefined) {
          faultsOfMalformed.set(key, faults);
          documents.delete(key);
        } else {
          documents.set(key, document);
          faultsOfMalformed.delete(key);
        }
      }
    }
  }
  return {documents, faultsOfMalformed, changedDocumentKeys};
}

interface ParsedChange {
  readonly key: string;
  readonly document: ConfigurationDocument | undefined;
  readonly faults: readonly DocumentFault[];
}

function parseChange(
  change: Extract<ConfigurationChange, {kind: 'publish'}>,
): ParsedChange {
  const parsed = parseDocument(change.document);
  if (parsed.isErr) {
    const key = change.key ?? parsed.error[0]!.document;
    return {key, document: undefined, faults: parsed.error};
  }
  const ownKey = documentKey(parsed.value);
  if (change.key === undefined || change.key === ownKey)
    return {key: ownKey, document: parsed.value, faults: []};
  const reason = `is published under a different key: ${change.key}`;
  const faults = [{document: ownKey, field: '/name', reason}];
  return {key: change.key, document: undefined, faults};
}
