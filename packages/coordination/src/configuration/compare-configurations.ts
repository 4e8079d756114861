/** Compares two versions of the configuration. */

import {isDeepStrictEqual} from 'node:util';
import type {Configuration} from './configuration.js';

/** A value that differs between two versions of a document. */
export interface FieldDifference {
  /** JSON Pointer to the field. */
  readonly field: string;
  /** Undefined if the field is absent. */
  readonly before: unknown;
  readonly after: unknown;
}

export type DocumentDifference =
  | {readonly kind: 'added'; readonly document: string}
  | {readonly kind: 'removed'; readonly document: string}
  | {
      readonly kind: 'changed';
      readonly document: string;
      readonly fields: readonly FieldDifference[];
    };

/** Lists what `after` changes in `before`, ordered by document. */
export function compareConfigurations(
  before: Configuration,
  after: Configuration,
): DocumentDifference[] {
  const keys = new Set([...before.documents.keys(), ...after.documents.keys()]);
  return [...keys].sort().flatMap((document): DocumentDifference[] => {
    const old = before.documents.get(document);
    const current = after.documents.get(document);
    if (old === undefined) return [{kind: 'added', document}];
    if (current === undefined) return [{kind: 'removed', document}];
    const fields = compareValues(old, current, '');
    return fields.length === 0 ? [] : [{kind: 'changed', document, fields}];
  });
}

/** Lists are compared whole, because their entries have no names. */
function compareValues(
  before: unknown,
  after: unknown,
  field: string,
): FieldDifference[] {
  if (isDeepStrictEqual(before, after)) return [];
  if (!isObject(before) || !isObject(after)) return [{field, before, after}];
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].flatMap(key =>
    compareValues(before[key], after[key], `${field}/${key}`),
  );
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
