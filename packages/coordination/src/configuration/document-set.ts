/**
 * The documents of one published version as they were read. Malformed documents
 * are kept, because a later version may correct them.
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
  readonly malformed: ReadonlyMap<string, readonly DocumentFault[]>;
}

/** A set that was derived from another one, with the keys that changed. */
export interface ChangedDocumentSet extends DocumentSet {
  readonly changedKeys: ReadonlySet<string>;
}

export const emptyDocumentSet: DocumentSet = {
  documents: new Map(),
  malformed: new Map(),
};

/** Applies `changes` to `base` in order. */
export function applyToDocumentSet(
  base: DocumentSet,
  changes: readonly ConfigurationChange[],
): ChangedDocumentSet {
  const documents = new Map(base.documents);
  const malformed = new Map(base.malformed);
  const changedKeys = new Set<string>();
  for (const change of changes) {
    switch (change.kind) {
      case 'withdraw':
        documents.delete(change.key);
        malformed.delete(change.key);
        changedKeys.add(change.key);
        break;
      case 'publish': {
        const {key, document, faults} = parseChange(change);
        changedKeys.add(key);
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
  return {documents, malformed, changedKeys};
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
  const reason = `published under ${change.key}`;
  const faults = [{document: ownKey, field: '/name', reason}];
  return {key: change.key, document: undefined, faults};
}
