/** A small fleet of fakes with a configuration for two client accounts. */

import {createHash} from 'node:crypto';
import {accountId} from '@persimmonwick/coordination';
import {FakeEngine} from './fake-engine.js';
import type {FakeEngineOptions} from './fake-engine-options.js';
import {FakePlatform} from './fake-platform.js';
import {FakeService} from './fake-service.js';

/** Keys of the sample accounts. The fleet withdraws the third key at startup. */
export const sampleKeys = {
  batinah: 'key-of-batinah',
  lembaga: 'key-of-lembaga',
  withdrawn: 'key-that-was-withdrawn',
} as const;

export const sampleModel = 'review-1';

export const sampleFailureDomains = ['north', 'south', 'west'] as const;

/** A host in the Membership document of the sample fleet. */
export interface SampleMember {
  readonly host: string;
  readonly failureDomain: string;
  readonly address: string;
}

const sampleAccounts = ['batinah', 'lembaga'] as const;

export type SampleAccount = (typeof sampleAccounts)[number];

const rateTokensPerSecond = 1_000_000_000;
const burstTokens = 1_000_000;
const defaultClaimRetentionMilliseconds = 3_000;

/**
 * Returns the address to publish instead of a given one, for example that of a
 * proxy in front of it.
 */
export type AddressMapping = (address: string) => Promise<string>;

/** Fakes of the platform, engines and a service, published as one fleet. */
export class SampleFleet {
  readonly platform = new FakePlatform();
  readonly prefillEngines: FakeEngine[];
  readonly decodeEngines: FakeEngine[];
  readonly service = new FakeService();
  private readonly publishedAddresses = new Map<string, string>();

  constructor(
    options: Partial<FakeEngineOptions> = {},
    /** Hosts in the Membership document, with their peer addresses. */
    private readonly members: readonly SampleMember[] = [],
    /** Maps the address of an engine to the published address. */
    private readonly mapAddress: AddressMapping = async address => address,
    private readonly claimRetentionMilliseconds = defaultClaimRetentionMilliseconds,
  ) {
    this.prefillEngines = [0, 1].map(() => new FakeEngine(options));
    this.decodeEngines = [0, 1, 2].map(() => new FakeEngine(options));
  }

  get engines(): FakeEngine[] {
    return [...this.prefillEngines, ...this.decodeEngines];
  }

  /** Starts every fake and publishes the configuration. */
  async start(): Promise<void> {
    await this.platform.listen();
    await this.service.listen();
    await Promise.all(this.engines.map(engine => engine.listen()));
    for (const {address} of this.engines)
      this.publishedAddresses.set(address, await this.mapAddress(address));
    this.platform.publish(...this.createDocuments());
    this.platform.withdraw('Key/withdrawn');
  }

  async close(): Promise<void> {
    const fakes = [this.platform, this.service, ...this.engines];
    await Promise.allSettled(fakes.map(fake => fake.close()));
  }

  /** Publishes a decode engine as leaving and returns the version. */
  publishLeaving(engine: FakeEngine): number {
    const index = this.decodeEngines.indexOf(engine);
    const live = this.engineDocument(engine, index, 'decode');
    const spec = {...live.spec, state: 'leaving'};
    return this.platform.publish(Object.assign(live, {spec}));
  }

  /** Publishes one more key of an account and returns the version. */
  publishKey(name: string, key: string, account: SampleAccount): number {
    return this.platform.publish(keyDocument(name, key, account));
  }

  /** Returns events that record the published limits and keys of the accounts. */
  publicationEvents() {
    return sampleAccounts.flatMap(name => [
      {
        kind: 'limit-published' as const,
        account: accountId(name),
        rateTokensPerSecond,
        burstTokens,
      },
      {
        kind: 'key-published' as const,
        key: sampleKeys[name],
        account: accountId(name),
      },
    ]);
  }

  private createDocuments() {
    return [
      ...accountDocuments(),
      ...poolAndRouteDocuments(),
      ...this.prefillEngines.map((engine, index) =>
        this.engineDocument(engine, index, 'prefill'),
      ),
      ...this.decodeEngines.map((engine, index) =>
        this.engineDocument(engine, index, 'decode'),
      ),
      upstreamDocument('orders-0', this.service.address, 0, 'orders'),
      ...this.membershipDocuments(),
    ];
  }

  private engineDocument(engine: FakeEngine, index: number, use: string) {
    const address =
      this.publishedAddresses.get(engine.address) ?? engine.address;
    return upstreamDocument(`${use}-${index}`, address, index, use);
  }

  private membershipDocuments() {
    const {claimRetentionMilliseconds} = this;
    if (this.members.length === 0) return [];
    const members = this.members.map(({host, failureDomain, address}) => ({
      host,
      failureDomain,
      address,
    }));
    return [
      {
        kind: 'Membership',
        name: 'fleet',
        spec: {members, witnesses: 3, claimRetentionMilliseconds},
      },
    ];
  }
}

function accountDocuments() {
  const accounts = sampleAccounts.map(name => ({
    kind: 'ClientAccount',
    name,
    labels: {member: name},
    spec: {rateTokensPerSecond, burstTokens},
  }));
  const keys = Object.entries(sampleKeys).map(([name, key]) =>
    keyDocument(name, key, name === 'withdrawn' ? 'batinah' : name),
  );
  return [...accounts, ...keys];
}

function keyDocument(name: string, key: string, account: string) {
  const sha256 = createHash('sha256').update(key).digest('hex');
  return {kind: 'Key', name, spec: {sha256, account}};
}

function poolAndRouteDocuments() {
  const pool = (name: string, role: string, model?: string) => ({
    kind: 'Pool',
    name,
    labels: {use: name},
    spec: {role, model, upstreams: {matchLabels: {use: name}}},
  });
  return [
    pool('prefill', 'prefill', sampleModel),
    pool('decode', 'decode', sampleModel),
    pool('orders', 'service'),
    {
      kind: 'Route',
      name: 'review',
      spec: {
        target: {
          kind: 'model',
          models: [sampleModel],
          prefill: {matchLabels: {use: 'prefill'}},
          decode: {matchLabels: {use: 'decode'}},
        },
        service: {
          kind: 'targeted',
          firstTokenMilliseconds: 1500,
          betweenTokensMilliseconds: 60,
        },
      },
    },
    {
      kind: 'Route',
      name: 'kit-releases',
      spec: {
        target: {
          kind: 'service',
          pathPrefix: '/kit-releases',
          services: {matchLabels: {use: 'orders'}},
          repeatable: false,
        },
      },
    },
    {
      kind: 'Route',
      name: 'orders',
      spec: {
        target: {
          kind: 'service',
          pathPrefix: '/orders',
          services: {matchLabels: {use: 'orders'}},
        },
      },
    },
  ];
}

function upstreamDocument(
  name: string,
  address: string,
  index: number,
  use: string,
) {
  return {
    kind: 'Upstream',
    name,
    labels: {use},
    spec: {
      address,
      failureDomain: sampleFailureDomains[index]!,
      checksFencing: true,
    },
  };
}
