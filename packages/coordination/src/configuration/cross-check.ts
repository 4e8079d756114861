/** Checks of documents against each other. */

import type {ConfigurationDocument, Member} from '../generated/documents.js';
import type {Configuration} from './configuration.js';
import type {DocumentFault} from './documents.js';
import {documentKey} from './documents.js';
import {kindOfKey, kindsOfKeys} from './index-documents.js';

/**
 * Faults that only show when documents are seen together. `base` has none, and
 * `configuration` differs from it in `touchedKeys` only.
 */
export function findCrossFaults(
  base: Configuration,
  configuration: Configuration,
  touchedKeys: ReadonlySet<string>,
): DocumentFault[] {
  const kinds = kindsOfKeys(touchedKeys);
  return [
    ...findKeyFaults(base, configuration, touchedKeys),
    ...(kinds.has('Route') ? findRouteFaults(configuration) : []),
    ...(kinds.has('Pool') ? findPoolFaults(configuration) : []),
    ...(kinds.has('Link') ? findLinkFaults(configuration) : []),
    ...(kinds.has('Membership') ? findMembershipFaults(configuration) : []),
  ];
}

function findKeyFaults(
  base: Configuration,
  configuration: Configuration,
  touchedKeys: ReadonlySet<string>,
): DocumentFault[] {
  const {documents} = configuration;
  const isAccountWithdrawn = [...touchedKeys].some(
    key => kindOfKey(key) === 'ClientAccount' && !documents.has(key),
  );
  const concerned = isAccountWithdrawn
    ? [...documents.values()]
    : [...touchedKeys].map(key => documents.get(key));
  const faults = concerned
    .filter(document => document?.kind === 'Key')
    .filter(key => !documents.has(`ClientAccount/${key.spec.account}`))
    .map(key => ({
      document: documentKey(key),
      field: '/spec/account',
      reason: `no ClientAccount named ${key.spec.account}`,
    }));
  // Each hash stands once in the table, so a missing entry is a duplicate.
  let keyCount = base.accountOfKey.size;
  for (const key of touchedKeys) {
    if (kindOfKey(key) !== 'Key') continue;
    keyCount += Number(documents.has(key)) - Number(base.documents.has(key));
  }
  if (keyCount !== configuration.accountOfKey.size)
    faults.push(...findDuplicateHashes(configuration));
  return faults;
}

function findDuplicateHashes(configuration: Configuration): DocumentFault[] {
  const keys = [...configuration.documents.values()].filter(
    document => document.kind === 'Key',
  );
  return findDuplicates(
    keys,
    key => key.spec.sha256,
    '/spec/sha256',
    other => `the same hash as ${other}`,
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
    const label = documentKey(document);
    const value = valueOf(document);
    const other = seen.get(value);
    if (other !== undefined)
      faults.push({document: label, field, reason: reasonOf(other)});
    seen.set(value, label);
  }
  return faults;
}

function findLinkFaults(configuration: Configuration): DocumentFault[] {
  return findDuplicates(
    configuration.links,
    link => `${link.spec.from} ${link.spec.to}`,
    '/spec',
    other => `the same failure domains as ${other}`,
  );
}

function findRouteFaults(configuration: Configuration): DocumentFault[] {
  const faults: DocumentFault[] = [];
  const seen = new Map<string, string>();
  for (const route of configuration.routes) {
    const {target} = route.spec;
    const label = documentKey(route);
    if (target.kind !== 'service') continue;
    const other = seen.get(target.pathPrefix);
    if (other !== undefined)
      faults.push({
        document: label,
        field: '/spec/target/pathPrefix',
        reason: `the same prefix as ${other}`,
      });
    seen.set(target.pathPrefix, label);
    if (target.pathPrefix === '/v1' || target.pathPrefix.startsWith('/v1/'))
      faults.push({
        document: label,
        field: '/spec/target/pathPrefix',
        reason: '/v1 belongs to the model API',
      });
    if (target.repeatable === false && route.spec.open === true)
      faults.push({
        document: label,
        field: '/spec/open',
        reason: 'a route that may not be repeated needs a client account',
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
      reason: `a ${pool.spec.role} pool needs a model`,
    }));
}

function findMembershipFaults(configuration: Configuration): DocumentFault[] {
  const {membership} = configuration;
  if (membership === undefined) return [];
  const {members, previousMembers = []} = membership.spec;
  const faultOf = (field: string, reason: string): DocumentFault => ({
    document: documentKey(membership),
    field,
    reason,
  });
  return [
    ...findDoubleMembers('/spec/members', members, faultOf),
    ...findDoubleMembers('/spec/previousMembers', previousMembers, faultOf),
    ...findMovedMembers(members, previousMembers, faultOf),
  ];
}

type FaultMaker = (field: string, reason: string) => DocumentFault;

function findDoubleMembers(
  path: string,
  members: readonly Member[],
  faultOf: FaultMaker,
): DocumentFault[] {
  const faults: DocumentFault[] = [];
  for (const field of ['host', 'address'] as const) {
    const seen = new Set<string>();
    members.forEach((member, index) => {
      if (seen.has(member[field]))
        faults.push(
          faultOf(
            `${path}/${index}/${field}`,
            `${member[field]} is listed twice`,
          ),
        );
      seen.add(member[field]);
    });
  }
  return faults;
}

/** A host in both lists is one process at one address of one domain. */
function findMovedMembers(
  members: readonly Member[],
  previousMembers: readonly Member[],
  faultOf: FaultMaker,
): DocumentFault[] {
  const previous = new Map(previousMembers.map(each => [each.host, each]));
  const faults: DocumentFault[] = [];
  members.forEach((member, index) => {
    const old = previous.get(member.host);
    if (old === undefined) return;
    for (const field of ['address', 'failureDomain'] as const)
      if (old[field] !== member[field])
        faults.push(
          faultOf(
            `/spec/members/${index}/${field}`,
            `differs from ${old[field]} in previousMembers`,
          ),
        );
  });
  return faults;
}
