/** Builds the look-up tables of a configuration, reusing those of its base. */

import type {
  ClientAccountDocument,
  ConfigurationDocument,
  KeyDocument,
} from '../generated/documents.js';
import type {AccountId} from '../ids.js';
import {accountId} from '../ids.js';
import type {Configuration, KeyHash} from './configuration.js';
import type {ChangedDocumentSet} from './document-set.js';

/** Kind of a document, read from its key. */
export function kindOfKey(key: string): string {
  return key.slice(0, key.indexOf('/'));
}

/** Kinds of the documents that were touched. */
export function kindsOfKeys(keys: ReadonlySet<string>): ReadonlySet<string> {
  return new Set([...keys].map(kindOfKey));
}

/** Indexes `set`; tables of untouched kinds are shared with `base`. */
export function indexDocuments(
  base: Configuration,
  version: bigint,
  set: ChangedDocumentSet,
): Configuration {
  const {documents, touchedKeys} = set;
  const kinds = kindsOfKeys(touchedKeys);
  const ofKind = documentsOfKinds(documents, kinds);
  return {
    version,
    documents,
    accounts: kinds.has('ClientAccount')
      ? indexAccounts(base, set)
      : base.accounts,
    accountOfKey: kinds.has('Key') ? indexKeys(base, set) : base.accountOfKey,
    routes: kinds.has('Route') ? ofKind('Route') : base.routes,
    pools: kinds.has('Pool') ? ofKind('Pool') : base.pools,
    upstreams: kinds.has('Upstream')
      ? new Map(ofKind('Upstream').map(found => [found.name, found]))
      : base.upstreams,
    links: kinds.has('Link') ? ofKind('Link') : base.links,
    membership: kinds.has('Membership')
      ? ofKind('Membership')[0]
      : base.membership,
  };
}

/** Sorted by name, so that every host sees one order. */
function documentsOfKinds(
  documents: ReadonlyMap<string, ConfigurationDocument>,
  kinds: ReadonlySet<string>,
) {
  const small = new Set(
    ['Route', 'Pool', 'Upstream', 'Link', 'Membership'].filter(kind =>
      kinds.has(kind),
    ),
  );
  const found =
    small.size === 0
      ? []
      : [...documents.values()].filter(document => small.has(document.kind));
  found.sort((left, right) => (left.name < right.name ? -1 : 1));
  return <Kind extends ConfigurationDocument['kind']>(kind: Kind) =>
    found.filter(
      (document): document is Extract<ConfigurationDocument, {kind: Kind}> =>
        document.kind === kind,
    );
}

function indexAccounts(
  base: Configuration,
  {documents, touchedKeys}: ChangedDocumentSet,
): ReadonlyMap<AccountId, ClientAccountDocument> {
  const accounts = new Map(base.accounts);
  for (const key of touchedKeys) {
    if (kindOfKey(key) !== 'ClientAccount') continue;
    const document = documents.get(key);
    const name = accountId(key.slice(key.indexOf('/') + 1));
    if (document?.kind === 'ClientAccount') accounts.set(name, document);
    else accounts.delete(name);
  }
  return accounts;
}

function indexKeys(
  base: Configuration,
  {documents, touchedKeys}: ChangedDocumentSet,
): ReadonlyMap<KeyHash, AccountId> {
  const accountOfKey = new Map(base.accountOfKey);
  const touched = [...touchedKeys].filter(key => kindOfKey(key) === 'Key');
  // All old hashes go first: a hash may move from one document to another.
  for (const key of touched) {
    const old = base.documents.get(key);
    if (old?.kind === 'Key') accountOfKey.delete(hashOf(old));
  }
  for (const key of touched) {
    const document = documents.get(key);
    if (document?.kind === 'Key')
      accountOfKey.set(hashOf(document), accountId(document.spec.account));
  }
  return accountOfKey;
}

function hashOf(document: KeyDocument): KeyHash {
  return document.spec.sha256 as KeyHash;
}
