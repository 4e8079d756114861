/** Builds the indexes of a configuration and reuses those of its base. */

import type {
  ClientAccountDocument,
  ConfigurationDocument,
  KeyDocument,
} from '../generated/documents.js';
import type {AccountId} from '../ids.js';
import {accountId} from '../ids.js';
import type {Configuration, KeyHash} from './configuration.js';
import type {ChangedDocumentSet} from './document-set.js';

/** Returns the kind of the document with the given key. */
export function kindOfDocumentKey(key: string): string {
  return key.slice(0, key.indexOf('/'));
}

/** Returns the kinds of the documents with the given keys. */
export function kindsOfDocumentKeys(
  keys: ReadonlySet<string>,
): ReadonlySet<string> {
  return new Set([...keys].map(kindOfDocumentKey));
}

/** Indexes `set`. Indexes of unchanged kinds are shared with `base`. */
export function indexDocuments(
  base: Configuration,
  version: bigint,
  set: ChangedDocumentSet,
): Configuration {
  const {documents, changedDocumentKeys} = set;
  const kinds = kindsOfDocumentKeys(changedDocumentKeys);
  const documentsOf = documentsByKind(documents, kinds);
  return {
    version,
    documents,
    accounts: kinds.has('ClientAccount')
      ? indexAccounts(base, set)
      : base.accounts,
    accountOfKey: kinds.has('Key')
      ? indexKeyHashes(base, set)
      : base.accountOfKey,
    routes: kinds.has('Route') ? documentsOf('Route') : base.routes,
    pools: kinds.has('Pool') ? documentsOf('Pool') : base.pools,
    upstreams: kinds.has('Upstream')
      ? new Map(
          documentsOf('Upstream').map(upstream => [upstream.name, upstream]),
        )
      : base.upstreams,
    links: kinds.has('Link') ? documentsOf('Link') : base.links,
    membership: kinds.has('Membership')
      ? documentsOf('Membership')[0]
      : base.membership,
  };
}

/**
 * Returns a function that gives the documents of a kind, sorted by name so that
 * every host has the same order.
 */
function documentsByKind(
  documents: ReadonlyMap<string, ConfigurationDocument>,
  kinds: ReadonlySet<string>,
) {
  const sortedKinds = new Set(
    ['Route', 'Pool', 'Upstream', 'Link', 'Membership'].filter(kind =>
      kinds.has(kind),
    ),
  );
  const sorted =
    sortedKinds.size === 0
      ? []
      : [...documents.values()].filter(document =>
          sortedKinds.has(document.kind),
        );
  sorted.sort((left, right) => (left.name < right.name ? -1 : 1));
  return <Kind extends ConfigurationDocument['kind']>(kind: Kind) =>
    sorted.filter(
      (document): document is Extract<ConfigurationDocument, {kind: Kind}> =>
        document.kind === kind,
    );
}

function indexAccounts(
  base: Configuration,
  {documents, changedDocumentKeys}: ChangedDocumentSet,
): ReadonlyMap<AccountId, ClientAccountDocument> {
  const accounts = new Map(base.accounts);
  for (const key of changedDocumentKeys) {
    if (kindOfDocumentKey(key) !== 'ClientAccount') continue;
    const document = documents.get(key);
    const name = accountId(key.slice(key.indexOf('/') + 1));
    if (document?.kind === 'ClientAccount') accounts.set(name, document);
    else accounts.delete(name);
  }
  return accounts;
}

function indexKeyHashes(
  base: Configuration,
  {documents, changedDocumentKeys}: ChangedDocumentSet,
): ReadonlyMap<KeyHash, AccountId> {
  const accountOfKey = new Map(base.accountOfKey);
  const changed = [...changedDocumentKeys].filter(
    key => kindOfDocumentKey(key) === 'Key',
  );
  // Old hashes are removed before any is added, because a hash can move from
  // one document to another.
  for (const key of changed) {
    const old = base.documents.get(key);
    if (old?.kind === 'Key') accountOfKey.delete(keyHashOf(old));
  }
  for (const key of changed) {
    const document = documents.get(key);
    if (document?.kind === 'Key')
      accountOfKey.set(keyHashOf(document), accountId(document.spec.account));
  }
  return accountOfKey;
}

function keyHashOf(document: KeyDocument): KeyHash {
  return document.spec.sha256 as KeyHash;
}
