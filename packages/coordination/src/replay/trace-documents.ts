/** The configuration documents of a trace's fleet. */

import {hashKey} from '../requests/authentication.js';
import type {Trace} from '../generated/trace.js';

/** Model that completions of a trace ask for. */
export const traceModel = 'review';

type Document = {kind: string; name: string};

/** Every document of the first version. */
export function documentsOf(trace: Trace): Document[] {
  const {fleet} = trace;
  return [
    membershipOf(trace),
    ...fleet.accounts.flatMap(account => [
      {
        kind: 'ClientAccount',
        name: account.name,
        spec: {
          rateTokensPerSecond: account.rateTokensPerSecond,
          burstTokens: account.burstTokens,
        },
      },
      ...keysOf(account).map(key => keyDocument(key, account.name)),
    ]),
    ...(fleet.engines ?? []).map(engine =>
      upstreamDocument(engine.name, engine.failureDomain, engine.role),
    ),
    ...(fleet.services ?? []).map(service =>
      upstreamDocument(service.name, service.failureDomain, 'service'),
    ),
    pool('prefill', traceModel),
    pool('decode', traceModel),
    pool('service', undefined),
    modelRoute(trace),
    serviceRoute('orders', {}),
    serviceRoute('kit-releases', {repeatable: false}),
    serviceRoute('public', {}, true),
  ];
}

/** The keys of an account of a trace. */
export function keysOf(account: Trace['fleet']['accounts'][number]): string[] {
  return account.keys ?? [`${account.name}-key`];
}

/** The document of an upstream in one state. */
export function upstreamDocument(
  name: string,
  failureDomain: string,
  role: string,
  state: 'live' | 'leaving' = 'live',
) {
  return {
    kind: 'Upstream',
    name,
    labels: {role},
    spec: {address: '127.0.0.1:1', failureDomain, state},
  };
}

function membershipOf({fleet}: Trace) {
  return {
    kind: 'Membership',
    name: 'fleet',
    spec: {
      members: fleet.hosts.map(({host, failureDomain}, index) => ({
        host,
        failureDomain,
        address: `127.0.0.${index + 1}:1`,
      })),
      witnesses: 3,
      claimRetentionMilliseconds: fleet.claimRetentionMilliseconds,
    },
  };
}

function keyDocument(key: string, account: string) {
  return {
    kind: 'Key',
    name: key,
    spec: {sha256: hashKey(key), account},
  };
}

function pool(role: string, model: string | undefined) {
  const upstreams = {matchLabels: {role}};
  return {
    kind: 'Pool',
    name: role,
    labels: {role},
    spec: {role, upstreams, ...(model && {model})},
  };
}

function modelRoute({fleet}: Trace) {
  return {
    kind: 'Route',
    name: traceModel,
    spec: {
      target: {
        kind: 'model',
        models: [traceModel],
        prefill: {matchLabels: {role: 'prefill'}},
        decode: {matchLabels: {role: 'decode'}},
      },
      service: {kind: 'deferrable'},
      onKeyWithdrawal: fleet.onKeyWithdrawal,
    },
  };
}

function serviceRoute(name: string, extra: object, open = false) {
  return {
    kind: 'Route',
    name,
    spec: {
      open,
      target: {
        kind: 'service',
        pathPrefix: `/${name}`,
        services: {matchLabels: {role: 'service'}},
        ...extra,
      },
    },
  };
}
