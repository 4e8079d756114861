/**
 * Checks that operators run before they publish a version. They never cause a
 * host to refuse a version, because related documents can arrive in any order.
 */

import type {
  ConfigurationDocument,
  Member,
  Selector,
} from '../generated/documents.js';
import {matchesSelector} from '../labels.js';
import type {Configuration} from './configuration.js';
import {documentKey} from './documents.js';
import type {DocumentFault} from './documents.js';

/**
 * Finds selectors without a match, links of unknown failure domains, and
 * settings without effect.
 */
export function findConfigurationWarnings(
  configuration: Configuration,
): DocumentFault[] {
  return [
    ...findUnmatchedSelectors(configuration),
    ...findUnknownFailureDomains(configuration),
    ...findIneffectivePreambles(configuration),
  ];
}

/** Engines currently share a cached prefix only within one client account. */
function findIneffectivePreambles(
  configuration: Configuration,
): DocumentFault[] {
  return configuration.routes
    .filter(
      ({spec}) =>
        spec.target.kind === 'model' &&
        spec.target.sharedPreamble !== undefined,
    )
    .map(route => ({
      document: documentKey(route),
      field: '/spec/target/sharedPreamble',
      reason: 'has no effect yet: client accounts do not share cached prefixes',
    }));
}

/**
 * Finds invalid changes of the membership from `active` to `next`. This is not
 * part of validation, because a host that starts later never sees the
 * intermediate version and has to accept the same versions as the others.
 */
export function findMembershipTransitionFaults(
  active: Configuration,
  next: Configuration,
): DocumentFault[] {
  const before = active.membership?.spec;
  const after = next.membership?.spec;
  if (before === undefined) return [];
  const createFault = (field: string, reason: string): DocumentFault[] => [
    {document: 'Membership/fleet', field, reason},
  ];
  if (after === undefined)
    return createFault('/', 'the Membership document cannot be withdrawn');
  if (hasSameMembers(before.members, after.members)) return [];
  if (before.previousMembers !== undefined)
    return createFault(
      '/spec/members',
      'previousMembers of the active version must be removed before the members change again',
    );
  return hasSameMembers(before.members, after.previousMembers ?? [])
    ? []
    : createFault(
        '/spec/previousMembers',
        'must list the members of the active version',
      );
}

function hasSameMembers(left: readonly Member[], right: readonly Member[]) {
  const serialize = (members: readonly Member[]) =>
    members
      .map(each => `${each.host} ${each.failureDomain} ${each.address}`)
      .sort()
      .join('\n');
  return serialize(left) === serialize(right);
}

function findUnmatchedSelectors(configuration: Configuration): DocumentFault[] {
  const accounts = [...configuration.accounts.values()];
  const upstreams = [...configuration.upstreams.values()];
  const {pools} = configuration;
  const faults: DocumentFault[] = [];
  const check = (
    owner: ConfigurationDocument,
    field: string,
    selector: Selector | undefined,
    candidates: readonly ConfigurationDocument[],
  ) => {
    if (selector === undefined) return;
    if (candidates.some(each => matchesSelector(selector, each.labels ?? {})))
      return;
    const reason = 'the selector matches no document';
    faults.push({document: documentKey(owner), field, reason});
  };
  for (const pool of pools)
    check(pool, '/spec/upstreams', pool.spec.upstreams, upstreams);
  for (const route of configuration.routes) {
    const {accounts: selector, target} = route.spec;
    check(route, '/spec/accounts', selector, accounts);
    switch (target.kind) {
      case 'service':
        check(route, '/spec/target/services', target.services, pools);
        break;
      case 'model':
        check(route, '/spec/target/prefill', target.prefill, pools);
        check(route, '/spec/target/decode', target.decode, pools);
        break;
      case 'passthrough':
        for (const {labels} of target.pools)
          check(route, '/spec/target/pools', labels, pools);
    }
  }
  return faults;
}

function findUnknownFailureDomains(
  configuration: Configuration,
): DocumentFault[] {
  const knownDomains = new Set([
    ...[...configuration.upstreams.values()].map(
      upstream => upstream.spec.failureDomain,
    ),
    ...(configuration.membership?.spec.members ?? []).map(
      member => member.failureDomain,
    ),
  ]);
  return configuration.links.flatMap(link =>
    (['from', 'to'] as const)
      .filter(field => !knownDomains.has(link.spec[field]))
      .map(field => ({
        document: documentKey(link),
        field: `/spec/${field}`,
        reason: `no host or upstream is in failure domain ${link.spec[field]}`,
      })),
  );
}
