/**
 * One version of the configuration, indexed for look-ups on each request. A
 * configuration is immutable; a change makes the next one.
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
import {changeDocumentSet} from './document-set.js';
import type {ChangedDocumentSet, ConfigurationChange} from './document-set.js';
import type {DocumentFault} from './documents.js';
import {findCrossFaults} from './cross-check.js';
import {indexDocuments} from './index-documents.js';

export type {ConfigurationChange} from './document-set.js';

/** SHA-256 of a key in lower-case hexadecimal. */
export type KeyHash = Branded<'KeyHash'>;

export type Route = RouteDocument;
export type Upstream = UpstreamDocument;

/** All documents of one published version. */
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

/** The configuration before anything was published: version zero. */
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

/** Checks `values` as a whole and indexes them. */
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
 * The configuration that follows `base` by `changes`. The check depends on the
 * documents alone, so that every host accepts or refuses the same versions.
 */
export function applyChanges(
  base: Configuration,
  version: bigint,
  changes: readonly ConfigurationChange[],
): Result<Configuration, DocumentFault[]> {
  const {documents} = base;
  const set = changeDocumentSet({documents, malformed: new Map()}, changes);
  return configurationOfSet(base, version, set);
}

/**
 * Checks a set of documents and indexes it. `base` is an accepted configuration
 * from which `set` differs in the touched keys only: what they cannot have
 * broken is not checked again.
 */
export function configurationOfSet(
  base: Configuration,
  version: bigint,
  set: ChangedDocumentSet,
): Result<Configuration, DocumentFault[]> {
  if (set.malformed.size > 0)
    return Result.err([...set.malformed.values()].flat());
  const configuration = indexDocuments(base, version, set);
  const faults = findCrossFaults(base, configuration, set.touchedKeys);
  return faults.length > 0 ? Result.err(faults) : Result.ok(configuration);
}

/** Upstreams that a pool's selector allows, leaving ones included. */
export function upstreamsOfPool(
  configuration: Configuration,
  pool: PoolDocument,
): UpstreamDocument[] {
  return [...configuration.upstreams.values()].filter(upstream =>
    matchesSelector(pool.spec.upstreams, upstream.labels ?? {}),
  );
}
