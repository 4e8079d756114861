/**
 * What operators should look at before they publish: it never refuses a
 * version, since documents that belong together may arrive in any order.
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

/** Selectors that match nothing and links of unknown failure domains. */
export function findConfigurationWarnings(
  configuration: Configuration,
): DocumentFault[] {
  return [
    ...findIdleSelectors(configuration),
    ...findUnknownDomains(configuration),
    ...findPreambles(configuration),
  ];
}

/** Engines share a cached prefix inside one client account only, so far. */
function findPreambles(configuration: Configuration): DocumentFault[] {
  return configuration.routes
    .filter(
      ({spec}) =>
        spec.target.kind === 'model' &&
        spec.target.sharedPreamble !== undefined,
    )
    .map(route => ({
      document: documentKey(route),
      field: '/spec/target/sharedPreamble',
      reason: 'has no effect yet: accounts share no cached prefix',
    }));
}

/**
 * Faults of going from one membership to the next in one version. Hosts that
 * start later never see the step, so it cannot be part of their check.
 */
export function findMembershipTransitionFaults(
  inForce: Configuration,
  next: Configuration,
): DocumentFault[] {
  const before = inForce.membership?.spec;
  const after = next.membership?.spec;
  if (before === undefined) return [];
  const faultOf = (field: string, reason: string): DocumentFault[] => [
    {document: 'Membership/fleet', field, reason},
  ];
  if (after === undefined) return faultOf('/', 'the membership is withdrawn');
  if (isSameList(before.members, after.members)) return [];
  if (before.previousMembers !== undefined)
    return faultOf('/spec/members', 'the last change is not finished yet');
  return isSameList(before.members, after.previousMembers ?? [])
    ? []
    : faultOf('/spec/previousMembers', 'must list the members now in force');
}

function isSameList(left: readonly Member[], right: readonly Member[]) {
  const texts = (members: readonly Member[]) =>
    members
      .map(each => `${each.host} ${each.failureDomain} ${each.address}`)
      .sort()
      .join('\n');
  return texts(left) === texts(right);
}

function findIdleSelectors(configuration: Configuration): DocumentFault[] {
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
    const reason = 'the selector matches nothing';
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

function findUnknownDomains(configuration: Configuration): DocumentFault[] {
  const known = new Set([
    ...[...configuration.upstreams.values()].map(
      upstream => upstream.spec.failureDomain,
    ),
    ...(configuration.membership?.spec.members ?? []).map(
      member => member.failureDomain,
    ),
  ]);
  return configuration.links.flatMap(link =>
    (['from', 'to'] as const)
      .filter(field => !known.has(link.spec[field]))
      .map(field => ({
        document: documentKey(link),
        field: `/spec/${field}`,
        reason: `no host or upstream in ${link.spec[field]}`,
      })),
  );
}
