/**
 * One version of the configuration, indexed for look-ups on each request. A
 * configuration is immutable; a change makes the next one.
 */

import {Result} from 'true-myth';
import type {
  ClientAccountDocument,
  ConfigurationDocument,
  KeyDocument,
  LinkDocument,
  MembershipDocument,
  PoolDocument,
  RouteDocument,
  UpstreamDocument,
} from '../generated/documents.js';
import type {AccountId, Branded} from '../ids.js';
import {accountId} from '../ids.js';
import {matchesSelector} from '../labels.js';
import {documentKey, parseDocument} from './documents.js';
import type {DocumentFault} from './documents.js';
import {findCrossFaults} from './cross-check.js';

/** SHA-256 of a key in lower-case hexadecimal. */
export type KeyHash = Branded<'KeyHash'>;

export type Route = RouteDocument;
export type Upstream = UpstreamDocument;

/** Replaces or withdraws one published document. */
export type ConfigurationChange =
  | {readonly kind: 'publish'; readonly document: unknown}
  | {readonly kind: 'withdraw'; readonly key: string};

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
export const emptyConfiguration: Configuration = indexDocuments(0n, new Map());

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
  const documents = new Map(base.documents);
  const faults: DocumentFault[] = [];
  for (const change of changes) {
    switch (change.kind) {
      case 'withdraw':
        documents.delete(change.key);
        break;
      case 'publish': {
        const parsed = parseDocument(change.document);
        if (parsed.isErr) faults.push(...parsed.error);
        else documents.set(documentKey(parsed.value), parsed.value);
      }
    }
  }
  if (faults.length > 0) return Result.err(faults);
  const configuration = indexDocuments(version, documents);
  const crossFaults = findCrossFaults(configuration);
  if (crossFaults.length > 0) return Result.err(crossFaults);
  return Result.ok(configuration);
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

function indexDocuments(
  version: bigint,
  documents: ReadonlyMap<string, ConfigurationDocument>,
): Configuration {
  const all = [...documents.values()];
  const ofKind = <Kind extends ConfigurationDocument['kind']>(kind: Kind) =>
    all.filter(
      (document): document is Extract<ConfigurationDocument, {kind: Kind}> =>
        document.kind === kind,
    );
  const keys: KeyDocument[] = ofKind('Key');
  return {
    version,
    documents,
    accounts: new Map(
      ofKind('ClientAccount').map(account => [
        accountId(account.name),
        account,
      ]),
    ),
    accountOfKey: new Map(
      keys.map(key => [
        key.spec.sha256 as KeyHash,
        accountId(key.spec.account),
      ]),
    ),
    routes: ofKind('Route'),
    pools: ofKind('Pool'),
    upstreams: new Map(
      ofKind('Upstream').map(upstream => [upstream.name, upstream]),
    ),
    links: ofKind('Link'),
    membership: ofKind('Membership')[0],
  };
}
