/** Validation of individual configuration documents. */

import {Result} from 'true-myth';
import {
  validateClientAccountDocument,
  validateKeyDocument,
  validateLinkDocument,
  validateMembershipDocument,
  validatePoolDocument,
  validateRouteDocument,
  validateUpstreamDocument,
} from '../generated/documents-validators.js';
import type {ConfigurationDocument} from '../generated/documents.js';
import type {SchemaError, SchemaValidator} from '../schema-validator.js';

/** A validation error in a document. */
export interface DocumentFault {
  /** Kind and name of the document, for example `Route/drawings`. */
  readonly document: string;
  /** JSON Pointer to the field, for example `/spec/target`. */
  readonly field: string;
  readonly reason: string;
}

const validators: ReadonlyMap<string, SchemaValidator> = new Map([
  ['ClientAccount', validateClientAccountDocument],
  ['Key', validateKeyDocument],
  ['Route', validateRouteDocument],
  ['Pool', validatePoolDocument],
  ['Upstream', validateUpstreamDocument],
  ['Link', validateLinkDocument],
  ['Membership', validateMembershipDocument],
]);

/** Returns the key that a document is published under. */
export function documentKey(document: {kind: string; name: string}): string {
  return `${document.kind}/${document.name}`;
}

/** Validates one document against the schema of its kind. */
export function parseDocument(
  value: unknown,
): Result<ConfigurationDocument, DocumentFault[]> {
  const {kind, name} = (value ?? {}) as {kind?: unknown; name?: unknown};
  const key = `${String(kind)}/${String(name)}`;
  const validate = validators.get(String(kind));
  if (validate === undefined) {
    const kinds = [...validators.keys()].join(', ');
    const reason = `expected one of ${kinds}`;
    return Result.err([{document: key, field: '/kind', reason}]);
  }
  if (validate(value)) return Result.ok(value as ConfigurationDocument);
  return Result.err(
    (validate.errors ?? []).map(error => faultFromSchemaError(key, error)),
  );
}

function faultFromSchemaError(
  document: string,
  error: SchemaError,
): DocumentFault {
  const property = error.params['additionalProperty'];
  const suffix = property === undefined ? '' : `: ${String(property)}`;
  return {
    document,
    field: error.instancePath || '/',
    reason: `${error.message ?? error.keyword}${suffix}`,
  };
}
