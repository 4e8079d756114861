/** Configuration documents for tests. */

import {createHash} from 'node:crypto';

export const hashOf = (text: string) =>
  createHash('sha256').update(text).digest('hex');

export function account(name: string, rateTokensPerSecond = 100) {
  const spec = {rateTokensPerSecond, burstTokens: 1000};
  return {kind: 'ClientAccount', name, labels: {member: name}, spec};
}

export function key(name: string, owner: string) {
  return {kind: 'Key', name, spec: {sha256: hashOf(name), account: owner}};
}

export function upstream(name: string, failureDomain = 'd0', state = 'live') {
  const spec = {address: '10.1.0.1:8000', failureDomain, state};
  return {kind: 'Upstream', name, labels: {pool: 'p'}, spec};
}

/** Creates `count` accounts with one key each. */
export function accountsWithKeys(count: number) {
  return Array.from({length: count}, (_, index) => [
    account(`account-${index}`),
    key(`key-${index}`, `account-${index}`),
  ]).flat();
}
