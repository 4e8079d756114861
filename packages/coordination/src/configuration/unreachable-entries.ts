/**
 * Finds entries of a configuration that no call can ever use. Operators run this
 * before they publish a version; hosts accept such versions, because related
 * documents may arrive in any order.
 */

import type {RouteDocument, Selector} from '../generated/documents.js';
import {matchesSelector} from '../labels.js';
import type {Configuration} from './configuration.js';
import {documentKey} from './documents.js';
import type {DocumentFault} from './documents.js';

export function findUnreachableEntries(
  configuration: Configuration,
): DocumentFault[] {
  return [
    ...findShadowedRoutes(configuration.routes),
    ...findUnusedPools(configuration.routes),
    ...findAccountsWithoutKeys(configuration),
    ...findRoutesWithoutKeys(configuration),
  ];
}

/** Routes for calls that all go to earlier routes. */
function findShadowedRoutes(routes: readonly RouteDocument[]): DocumentFault[] {
  const firstByMatch = new Map<string, RouteDocument>();
  return routes.flatMap(route => {
    const matches = matchesOf(route);
    const earlier = matches.map(match => firstByMatch.get(match));
    for (const match of matches)
      if (!firstByMatch.has(match)) firstByMatch.set(match, route);
    const [first] = earlier;
    if (first === undefined || earlier.includes(undefined)) return [];
    const field =
      route.spec.target.kind === 'model'
        ? '/spec/target/models'
        : '/spec/target/pathPrefix';
    const reason = `a match that the route ${first.name} does not take first`;
    return [{document: documentKey(route), field, reason}];
  });
}

/** Names of the sets of calls that a route matches. */
function matchesOf({spec}: RouteDocument): string[] {
  const {target, accounts = {}} = spec;
  switch (target.kind) {
    // Path prefixes select a route before its accounts are considered.
    case 'passthrough':
      return [JSON.stringify(['host', target.host, target.pathPrefix])];
    case 'service':
      return [JSON.stringify(['path', target.pathPrefix])];
    case 'model':
      return target.models.map(model => JSON.stringify([model, accounts]));
  }
}

function findUnusedPools(routes: readonly RouteDocument[]): DocumentFault[] {
  return routes.flatMap(route => {
    const {target} = route.spec;
    if (target.kind !== 'passthrough') return [];
    const totalWeight = target.pools.reduce((sum, {weight}) => sum + weight, 0);
    return target.pools.flatMap(({weight}, index) =>
      weight > 0 || totalWeight === 0
        ? []
        : [
            {
              document: documentKey(route),
              field: `/spec/target/pools/${index}/weight`,
              reason:
                'a weight above 0; beside others, this pool gets no calls',
            },
          ],
    );
  });
}

function findAccountsWithoutKeys({
  accounts,
  accountOfKey,
}: Configuration): DocumentFault[] {
  const withKeys = new Set(accountOfKey.values());
  return [...accounts]
    .filter(([account]) => !withKeys.has(account))
    .map(([, document]) => ({
      document: documentKey(document),
      field: '/',
      reason: 'a key that belongs to the account; without one it has no calls',
    }));
}

/** Routes that need a key, though no account that they select has one. */
function findRoutesWithoutKeys({
  routes,
  accounts,
  accountOfKey,
}: Configuration): DocumentFault[] {
  const labelsWithKeys = [...new Set(accountOfKey.values())].map(
    account => accounts.get(account)?.labels ?? {},
  );
  // Many routes share a few selectors.
  const hasKeyBySelector = new Map<string, boolean>();
  const hasKey = (selector: Selector) => {
    const text = JSON.stringify(selector);
    const known = hasKeyBySelector.get(text);
    if (known !== undefined) return known;
    const found = labelsWithKeys.some(each => matchesSelector(selector, each));
    hasKeyBySelector.set(text, found);
    return found;
  };
  return routes
    .filter(({spec}) => spec.open !== true && !hasKey(spec.accounts ?? {}))
    .map(route => ({
      document: documentKey(route),
      field: '/spec/accounts',
      reason: 'a selector that matches an account with a key',
    }));
}
