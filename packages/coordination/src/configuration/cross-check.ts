/** Checks of documents against each other. */

import type {Configuration} from './configuration.js';
import type {DocumentFault} from './documents.js';
import {documentKey} from './documents.js';

/** Faults that only show when documents are seen together. */
export function findCrossFaults(configuration: Configuration): DocumentFault[] {
  return [
    ...findKeyFaults(configuration),
    ...findRouteFaults(configuration),
    ...findPoolFaults(configuration),
    ...findMembershipFaults(configuration),
  ];
}

function findKeyFaults(configuration: Configuration): DocumentFault[] {
  const faults: DocumentFault[] = [];
  const seen = new Map<string, string>();
  for (const document of configuration.documents.values()) {
    if (document.kind !== 'Key') continue;
    const label = documentKey(document);
    if (!configuration.documents.has(`ClientAccount/${document.spec.account}`))
      faults.push({
        document: label,
        field: '/spec/account',
        reason: `no ClientAccount named ${document.spec.account}`,
      });
    const other = seen.get(document.spec.sha256);
    if (other !== undefined)
      faults.push({
        document: label,
        field: '/spec/sha256',
        reason: `the same hash as ${other}`,
      });
    seen.set(document.spec.sha256, label);
  }
  return faults;
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
      pool => pool.spec.role !== 'service' && pool.spec.model === undefined,
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
  const faults: DocumentFault[] = [];
  for (const field of ['host', 'address'] as const) {
    const seen = new Set<string>();
    membership.spec.members.forEach((member, index) => {
      if (seen.has(member[field]))
        faults.push({
          document: documentKey(membership),
          field: `/spec/members/${index}/${field}`,
          reason: `${member[field]} is listed twice`,
        });
      seen.add(member[field]);
    });
  }
  return faults;
}
