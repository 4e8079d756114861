/** Builds the configuration documents of a trace's fleet. */

import {hashKey} from '../requests/authentication.js';
import type {Trace} from '../generated/trace.js';

/** The model that all completions of a trace request. */
export const traceModel = 'review';

type TraceDocument = {kind: string; name: string};

/** Returns the documents of the first configuration version. */
export function initialDocuments(trace: Trace): TraceDocument[] {
  const {fleet} = trace;
  return [
    membershipDocument(trace),
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
    poolDocument('prefill', traceModel),
    poolDocument('decode', traceModel),
    poolDocument('service', undefined),
    modelRouteDocument(trace),
    serviceRouteDocument('orders', {}),
    serviceRouteDocument('kit-releases', {repeatable: false}),
    serviceRouteDocument('public', {}, true),
  ];
}

/** Returns the keys of an account, or a key derived from its name. */
export function keysOf(account: Trace['fleet']['accounts'][number]): string[] {
  return account.keys ?? [`${account.name}-key`];
}

/** Returns the document of an upstream in the given state. */
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

function membershipDocument({fleet}: Trace) {
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

function poolDocument(role: string, model: string | undefined) {
  const upstreams = {matchLabels: {role}};
  return {
    kind: 'Pool',
    name: role,
    labels: {role},
    spec: {role, upstreams, ...(model && {model})},
  };
}

function modelRouteDocument({fleet}: Trace) {
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

function serviceRouteDocument(
  name: string,
  targetFields: object,
  isOpen = false,
) {
  return {
    kind: 'Route',
    name,
    spec: {
      open: isOpen,
      target: {
        kind: 'service',
        pathPrefix: `/${name}`,
        services: {matchLabels: {role: 'service'}},
        ...targetFields,
      },
    },
  };
}
