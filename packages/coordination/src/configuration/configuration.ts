/**
 * One version of the configuration, indexed for the look-ups of each request. A
 * configuration is immutable; changes create a new one.
 *
 * A document key is the identifier `Kind/name` of any document. A key without
 * further qualification is the secret of a client, of which a document of the
 * kind `Key` holds the hash.
 */

import {Result} from 'true-myth';
import type {
  ClientAccountDocument,
  ConfigurationDocument,
  LinkDocument,
  MembershipDocument,
  PoolDocument,
  RouteDocument,
  UpstreamDocument,
} from '../generated/documents.js';
import type {AccountId, Branded} from '../ids.js';
import {matchesSelector} from '../labels.js';
import {applyToDocumentSet} from './document-set.js';
import type {ChangedDocumentSet, ConfigurationChange} from './document-set.js';
import type {DocumentFault} from './documents.js';
import {findCrossDocumentFaults} from './cross-document-checks.js';
import {indexDocuments} from './index-documents.js';

export type {ConfigurationChange} from './document-set.js';

/** SHA-256 of a key in lower-case hexadecimal. */
export type KeyHash = Branded<'KeyHash'>;

export type Route = RouteDocument;
export type Upstream = UpstreamDocument;

/** The documents of one published version and the indexes over them. */
export interface Configuration {
  readonly version: bigint;
  readonly documents: ReadonlyMap<string, ConfigurationDocument>;
  readonly accounts: ReadonlyMap<AccountId, ClientAccountDocument>;
  readonly accountOfKey: ReadonlyMap<KeyHash, AccountId>;
  readonly routes: readonly RouteDocument[];
  readonly pools: readonly PoolDocument[];
  readonly upstreams: ReadonlyMap<string, UpstreamDocument>;
  readonly links: readonly LinkDocument[];
  readonly membership: MembershipDocument | undefined;
}

/** The configuration before the first publication, with version zero. */
export const emptyConfiguration: Configuration = {
  version: 0n,
  documents: new Map(),
  accounts: new Map(),
  accountOfKey: new Map(),
  routes: [],
  pools: [],
  upstreams: new Map(),
  links: [],
  membership: undefined,
};

/** Validates `values` as a complete set of documents and indexes them. */
export function buildConfiguration(
  version: bigint,
  values: readonly unknown[],
): Result<Configuration, DocumentFault[]> {
  const changes = values.map(
    document => ({kind: 'publish', document}) as const,
  );
  return applyChanges(emptyConfiguration, version, changes);
}

/**
 * Applies `changes` to `base`. Validation depends only on the documents, so
 * every host accepts or refuses the same versions.
 */
export function applyChanges(
  base: Configuration,
  version: bigint,
  changes: readonly ConfigurationChange[],
): Result<Configuration, DocumentFault[]> {
  const {documents} = base;
  const set = applyToDocumentSet(
    {documents, faultsOfMalformed: new Map()},
    changes,
  );
  return configurationFromDocuments(base, version, set);
}

/**
 * Validates a set of documents and indexes it. `base` is a valid configuration
 * that differs from `set` only in the changed document keys. Checks that
 * these keys cannot affect are skipped.
 */
export function configurationFromDocuments(
  base: Configuration,
  version: bigint,
  set: ChangedDocumentSet,
): Result<Configuration, DocumentFault[]> {
  if (set.faultsOfMalformed.size > 0)
    return Result.err([...set.faultsOfMalformed.values()].flat());
  const configuration = indexDocuments(base, version, set);
  const faults = findCrossDocumentFaults(
    base,
    configuration,
    set.changedDocumentKeys,
  );
  return faults.length > 0 ? Result.err(faults) : Result.ok(configuration);
}

/** The upstreams that match the selector of a pool, including leaving ones. */
export function upstreamsOfPool(
  configuration: Configuration,
  pool: PoolDocument,
): UpstreamDocument[] {
  return [...configuration.upstreams.values()].filter(upstream =>
    matchesSelector(pool.spec.upstreams, upstream.labels ?? {}),
  );
}
