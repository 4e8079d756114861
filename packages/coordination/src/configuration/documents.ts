/** Parsing and checking of single configuration documents. */

import {Ajv} from 'ajv';
import type {ErrorObject, ValidateFunction} from 'ajv';
import {Result} from 'true-myth';
import {documentsSchema} from '../generated/documents-schema.js';
import type {ConfigurationDocument} from '../generated/documents.js';

/** A fault of a document. */
export interface DocumentFault {
  /** Kind and name, as `Route/drawings`. */
  readonly document: string;
  /** Path of the field, as `/spec/target`. */
  readonly field: string;
  readonly reason: string;
}

const ajv = new Ajv({allErrors: true, strict: false});
ajv.addSchema(documentsSchema);

const kinds = [
  'ClientAccount',
  'Key',
  'Route',
  'Pool',
  'Upstream',
  'Link',
  'Membership',
] as const;

const validators = new Map<string, ValidateFunction>(
  kinds.map(kind => [
    kind,
    ajv.getSchema(`documents.schema.json#/definitions/${kind}Document`)!,
  ]),
);

/** Key under which a document is published. */
export function documentKey(document: {kind: string; name: string}): string {
  return `${document.kind}/${document.name}`;
}

/** Checks the shape of one document. */
export function parseDocument(
  value: unknown,
): Result<ConfigurationDocument, DocumentFault[]> {
  const {kind, name} = (value ?? {}) as {kind?: unknown; name?: unknown};
  const label = `${String(kind)}/${String(name)}`;
  const validate = validators.get(String(kind));
  if (validate === undefined) {
    const reason = `expected one of ${kinds.join(', ')}`;
    return Result.err([{document: label, field: '/kind', reason}]);
  }
  if (validate(value)) return Result.ok(value as ConfigurationDocument);
  return Result.err(
    (validate.errors ?? []).map(error => faultOf(label, error)),
  );
}

function faultOf(document: string, error: ErrorObject): DocumentFault {
  const extra = error.params['additionalProperty'];
  const suffix = extra === undefined ? '' : `: ${String(extra)}`;
  return {
    document,
    field: error.instancePath || '/',
    reason: `${error.message ?? error.keyword}${suffix}`,
  };
}
