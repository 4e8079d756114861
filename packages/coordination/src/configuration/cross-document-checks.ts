/** Validation of constraints between documents. */

import type {ConfigurationDocument, Member} from '../generated/documents.js';
import type {Configuration} from './configuration.js';
import type {DocumentFault} from './documents.js';
import {documentKey} from './documents.js';
import {kindOfDocumentKey, kindsOfDocumentKeys} from './index-documents.js';

/**
 * Finds violated constraints between documents. `base` violates none, and
 * `configuration` differs from it only in `changedDocumentKeys`.
 */
export function findCrossDocumentFaults(
  base: Configuration,
  configuration: Configuration,
  changedDocumentKeys: ReadonlySet<string>,
): DocumentFault[] {
  const kinds = kindsOfDocumentKeys(changedDocumentKeys);
  return [
    ...findKeyFaults(base, configuration, changedDocumentKeys),
    ...(kinds.has('Route') ? findRouteFaults(configuration) : []),
    ...(kinds.has('Pool') ? findPoolFaults(configuration) : []),
    ...(kinds.has('Link') ? findLinkFaults(configuration) : []),
    ...(kinds.has('Membership') ? findMembershipFaults(configuration) : []),
  ];
}

function findKeyFaults(
  base: Configuration,
  configuration: Configuration,
  changedDocumentKeys: ReadonlySet<string>,
): DocumentFault[] {
  const {documents} = configuration;
  const isAccountWithdrawn = [...changedDocumentKeys].some(
    key => kindOfDocumentKey(key) === 'ClientAccount' && !documents.has(key),
  );
  const affectedDocuments = isAccountWithdrawn
    ? [...documents.values()]
    : [...changedDocumentKeys].map(key => documents.get(key));
  const faults = affectedDocuments
    .filter(document => document?.kind === 'Key')
    .filter(
      keyDocument =>
        !documents.has(`ClientAccount/${keyDocument.spec.account}`),
    )
    .map(keyDocument => ({
      document: documentKey(keyDocument),
      field: '/spec/account',
      reason: `no ClientAccount named ${keyDocument.spec.account}`,
    }));
  // The index holds each hash once, so a missing entry indicates a duplicate.
  let keyDocumentCount = base.accountOfKey.size;
  for (const key of changedDocumentKeys) {
    if (kindOfDocumentKey(key) !== 'Key') continue;
    keyDocumentCount +=
      Number(documents.has(key)) - Number(base.documents.has(key));
  }
  if (keyDocumentCount !== configuration.accountOfKey.size)
    faults.push(...findDuplicateHashes(configuration));
  return faults;
}

function findDuplicateHashes(configuration: Configuration): DocumentFault[] {
  const keyDocuments = [...configuration.documents.values()].filter(
    document => document.kind === 'Key',
  );
  return findDuplicates(
    keyDocuments,
    keyDocument => keyDocument.spec.sha256,
    '/spec/sha256',
    other => `is already the hash of ${other}`,
  );
}

function findDuplicates<Document extends ConfigurationDocument>(
  documents: readonly Document[],
  valueOf: (document: Document) => string,
  field: string,
  reasonOf: (other: string) => string,
): DocumentFault[] {
  const faults: DocumentFault[] = [];
  const seen = new Map<string, string>();
  for (const document of documents) {
    const key = documentKey(document);
    const value = valueOf(document);
    const other = seen.get(value);
    if (other !== undefined)
      faults.push({document: key, field, reason: reasonOf(other)});
    seen.set(value, key);
  }
  return faults;
}

function findLinkFaults(configuration: Configuration): DocumentFault[] {
  return findDuplicates(
    configuration.links,
    link => `${link.spec.from} ${link.spec.to}`,
    '/spec',
    other => `${other} already links these failure domains`,
  );
}

function findRouteFaults(configuration: Configuration): DocumentFault[] {
  const faults: DocumentFault[] = [];
  const seen = new Map<string, string>();
  for (const route of configuration.routes) {
    const {target} = route.spec;
    const key = documentKey(route);
    if (target.kind !== 'service') continue;
    const other = seen.get(target.pathPrefix);
    if (other !== undefined)
      faults.push({
        document: key,
        field: '/spec/target/pathPrefix',
        reason: `is already the path prefix of ${other}`,
      });
    seen.set(target.pathPrefix, key);
    if (target.pathPrefix === '/v1' || target.pathPrefix.startsWith('/v1/'))
      faults.push({
        document: key,
        field: '/spec/target/pathPrefix',
        reason: 'path prefixes under /v1 are reserved for model routes',
      });
    if (target.repeatable === false && route.spec.open === true)
      faults.push({
        document: key,
        field: '/spec/open',
        reason: 'a route with `repeatable: false` cannot be open',
      });
  }
  return faults;
}

function findPoolFaults(configuration: Configuration): DocumentFault[] {
  return configuration.pools
    .filter(
      ({spec: {role, model}}) =>
        (role === 'prefill' || role === 'decode') && model === undefined,
    )
    .map(pool => ({
      document: documentKey(pool),
      field: '/spec/model',
      reason: `a ${pool.spec.role} pool requires a model`,
    }));
}

function findMembershipFaults(configuration: Configuration): DocumentFault[] {
  const {membership} = configuration;
  if (membership === undefined) return [];
  const {members, previousMembers = []} = membership.spec;
  const createFault = (field: string, reason: string): DocumentFault => ({
    document: documentKey(membership),
    field,
    reason,
  });
  return [
    ...findDuplicateMembers('/spec/members', members, createFault),
    ...findDuplicateMembers(
      '/spec/previousMembers',
      previousMembers,
      createFault,
    ),
    ...findConflictingMembers(members, previousMembers, createFault),
  ];
}

type FaultFactory = (field: string, reason: string) => DocumentFault;

function findDuplicateMembers(
  path: string,
  members: readonly Member[],
  createFault: FaultFactory,
): DocumentFault[] {
  const faults: DocumentFault[] = [];
  for (const field of ['host', 'address'] as const) {
    const seen = new Set<string>();
    members.forEach((member, index) => {
      if (seen.has(member[field]))
        faults.push(
          createFault(
            `${path}/${index}/${field}`,
            `${member[field]} is listed twice`,
          ),
        );
      seen.add(member[field]);
    });
  }
  return faults;
}

/**
 * Finds hosts whose address or failure domain differs between the lists. A host
 * in both lists is one process, so the two entries must agree.
 */
function findConflictingMembers(
  members: readonly Member[],
  previousMembers: readonly Member[],
  createFault: FaultFactory,
): DocumentFault[] {
  const previous = new Map(previousMembers.map(each => [each.host, each]));
  const faults: DocumentFault[] = [];
  members.forEach((member, index) => {
    const old = previous.get(member.host);
    if (old === undefined) return;
    for (const field of ['address', 'failureDomain'] as const)
      if (old[field] !== member[field])
        faults.push(
          createFault(
            `/spec/members/${index}/${field}`,
            `differs from ${old[field]} in previousMembers`,
          ),
        );
  });
  return faults;
}
