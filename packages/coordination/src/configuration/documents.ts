/** Parsing and checking of single configuration documents. */

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

/** A fault of a document. */
export interface DocumentFault {
  /** Kind and name, as `Route/drawings`. */
  readonly document: string;
  /** Path of the field, as `/spec/target`. */
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
    const kinds = [...validators.keys()].join(', ');
    const reason = `expected one of ${kinds}`;
    return Result.err([{document: label, field: '/kind', reason}]);
  }
  if (validate(value)) return Result.ok(value as ConfigurationDocument);
  return Result.err(
    (validate.errors ?? []).map(error => faultOf(label, error)),
  );
}

function faultOf(document: string, error: SchemaError): DocumentFault {
  const extra = error.params['additionalProperty'];
  const suffix = extra === undefined ? '' : `: ${String(extra)}`;
  return {
    document,
    field: error.instancePath || '/',
    reason: `${error.message ?? error.keyword}${suffix}`,
  };
}
