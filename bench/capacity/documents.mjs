/** The configuration documents of a measured fleet. */

import {incarnation} from '../../packages/coordination/dist/src/index.js';
import {hashKey} from '../../packages/coordination/dist/src/requests/authentication.js';

export const model = 'review';

/** An incarnation id with the length of a UUID, like those in production. */
export const incarnationOf = index =>
  incarnation(`0193e5a0-0000-7000-8000-${String(index).padStart(12, '0')}`);
export const accountName = index => `account-${String(index).padStart(5, '0')}`;
export const hostName = index => `entry-host-${String(index).padStart(3, '0')}`;
export const domainName = index => `domain-${index}`;

/** All documents of the first configuration version. */
export function fleetDocuments({
  hostCount,
  domainCount,
  accountCount,
  engineNames,
}) {
  const members = Array.from({length: hostCount}, (_, index) => ({
    host: hostName(index),
    failureDomain: domainName(index % domainCount),
    address: `10.0.0.${index + 1}:7000`,
  }));
  const pool = role => ({
    kind: 'Pool',
    name: role,
    labels: {role},
    spec: {
      role,
      upstreams: {matchLabels: {role}},
      ...(role !== 'service' && {model}),
    },
  });
  return [
    {kind: 'Membership', name: 'fleet', spec: {members, witnesses: 3}},
    ...Array.from({length: accountCount}, (_, index) => [
      accountDocument(index),
      {
        kind: 'Key',
        name: `${accountName(index)}-key`,
        spec: {
          sha256: hashKey(`${accountName(index)}-key`),
          account: accountName(index),
        },
      },
    ]).flat(),
    ...engineNames.map((name, index) =>
      upstreamDocument(
        name,
        index % 2 === 0 ? 'prefill' : 'decode',
        index,
        domainCount,
      ),
    ),
    upstreamDocument('service-0', 'service', 0, domainCount),
    pool('prefill'),
    pool('decode'),
    pool('service'),
    {
      kind: 'Route',
      name: model,
      spec: {
        target: {
          kind: 'model',
          models: [model],
          prefill: {matchLabels: {role: 'prefill'}},
          decode: {matchLabels: {role: 'decode'}},
        },
        service: {kind: 'deferrable'},
      },
    },
    {
      kind: 'Route',
      name: 'orders',
      spec: {
        target: {
          kind: 'service',
          pathPrefix: '/orders',
          services: {matchLabels: {role: 'service'}},
          repeatable: false,
        },
      },
    },
  ];
}

/** The document of an account. Changing `burstTokens` creates a new version. */
export function accountDocument(index, burstTokens = 10_000_000) {
  return {
    kind: 'ClientAccount',
    name: accountName(index),
    spec: {rateTokensPerSecond: 1_000_000, burstTokens},
  };
}

function upstreamDocument(name, role, index, domainCount) {
  return {
    kind: 'Upstream',
    name,
    labels: {role},
    spec: {
      address: `10.1.0.${(index % 250) + 1}:8000`,
      failureDomain: domainName((index >> 1) % domainCount),
      state: 'live',
    },
  };
}
