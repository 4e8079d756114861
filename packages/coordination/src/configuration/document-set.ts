/**
 * All documents of one published version as they were read, the malformed ones
 * included, so that a later version can mend what an earlier one broke.
 */

import type {ConfigurationDocument} from '../generated/documents.js';
import {documentKey, parseDocument} from './documents.js';
import type {DocumentFault} from './documents.js';

/** Replaces or withdraws one published document. */
export type ConfigurationChange =
  | {
      readonly kind: 'publish';
      readonly document: unknown;
      /** Key it was published under; taken from the document when absent. */
      readonly key?: string;
    }
  | {readonly kind: 'withdraw'; readonly key: string};

/** Documents by key; a key is in one of the two maps at most. */
export interface DocumentSet {
  readonly documents: ReadonlyMap<string, ConfigurationDocument>;
  readonly malformed: ReadonlyMap<string, readonly DocumentFault[]>;
}

/** A set that follows another, with the keys that were touched. */
export interface ChangedDocumentSet extends DocumentSet {
  readonly touchedKeys: ReadonlySet<string>;
}

export const emptyDocumentSet: DocumentSet = {
  documents: new Map(),
  malformed: new Map(),
};

/** Applies `changes` in order. */
export function changeDocumentSet(
  base: DocumentSet,
  changes: readonly ConfigurationChange[],
): ChangedDocumentSet {
  const documents = new Map(base.documents);
  const malformed = new Map(base.malformed);
  const touchedKeys = new Set<string>();
  for (const change of changes) {
    switch (change.kind) {
      case 'withdraw':
        documents.delete(change.key);
        malformed.delete(change.key);
        touchedKeys.add(change.key);
        break;
      case 'publish': {
        const {key, document, faults} = readDocument(change);
        touchedKeys.add(key);
        if (document === undefined) {
          malformed.set(key, faults);
          documents.delete(key);
        } else {
          documents.set(key, document);
          malformed.delete(key);
        }
      }
    }
  }
  return {documents, malformed, touchedKeys};
}

interface ReadDocument {
  readonly key: string;
  readonly document: ConfigurationDocument | undefined;
  readonly faults: readonly DocumentFault[];
}

function readDocument(
  change: Extract<ConfigurationChange, {kind: 'publish'}>,
): ReadDocument {
  const parsed = parseDocument(change.document);
  if (parsed.isErr) {
    const key = change.key ?? parsed.error[0]!.document;
    return {key, document: undefined, faults: parsed.error};
  }
  const ownKey = documentKey(parsed.value);
  if (change.key === undefined || change.key === ownKey)
    return {key: ownKey, document: parsed.value, faults: []};
  const reason = `published under ${change.key}`;
  const faults = [{document: ownKey, field: '/name', reason}];
  return {key: change.key, document: undefined, faults};
}
