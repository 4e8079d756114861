/** Model engines, hosts and their configuration in one process. */

import {buildConfiguration} from '../configuration/configuration.js';
import type {Configuration, Route} from '../configuration/configuration.js';
import type {ConfigurationDocument} from '../generated/documents.js';
import {
  accountId,
  failureDomainId,
  hostId,
  incarnation,
  requestId,
  upstreamId,
} from '../ids.js';
import type {AccountId} from '../ids.js';
import {CompletionRunner} from '../placement/completion-runner.js';
import type {CompletionRunnerParts} from '../placement/completion-runner.js';
import {seededRandom} from '../random.js';
import type {CompletionRequest} from '../requests/completion.js';
import {SimulatedEngine} from './simulated-engine.js';
import {defaultSimulatedEngineOptions} from './simulated-engine-options.js';
import type {SimulatedEngineOptions} from './simulated-engine-options.js';
import {connectEngine} from './simulated-engine-connection.js';
import {VirtualClock} from './virtual-clock.js';

/** One engine of a fleet. */
export interface EngineSpec {
  readonly name: string;
  readonly role: 'prefill' | 'decode';
  readonly failureDomain: string;
  readonly options?: Partial<SimulatedEngineOptions>;
}

/** One host of a fleet. */
export interface HostSpec {
  readonly name: string;
  readonly failureDomain: string;
}

export interface FleetSpec {
  readonly engines: readonly EngineSpec[];
  readonly hosts: readonly HostSpec[];
  /** Weights of the client accounts. */
  readonly accounts: Readonly<Record<string, number>>;
  readonly firstTokenMilliseconds: number;
  readonly betweenTokensMilliseconds: number;
  /** One way between failure domains. */
  readonly domainDelayMilliseconds: number;
  readonly seed: number;
}

/** What a request of a fleet's caller looks like. */
export interface RequestSpec {
  readonly account: string;
  readonly service: 'targeted' | 'deferrable';
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maximumTokens: number;
  readonly timeoutMilliseconds: number;
}

const model = 'model';

export class SimulatedFleet {
  readonly clock = new VirtualClock();
  readonly engines = new Map<string, SimulatedEngine>();
  /** Failure domains that are cut off from all others. */
  readonly cutDomains = new Set<string>();
  configuration: Configuration;
  private readonly documents = new Map<string, ConfigurationDocument>();
  private requests = 0;
  private runners = 0;

  constructor(readonly spec: FleetSpec) {
    for (const {name, options} of spec.engines)
      this.engines.set(
        name,
        new SimulatedEngine(upstreamId(name), this.clock, {
          ...defaultSimulatedEngineOptions,
          ...options,
        }),
      );
    for (const document of documentsOf(spec))
      this.documents.set(`${document.kind}/${document.name}`, document);
    this.configuration = this.build();
  }

  engine(name: string): SimulatedEngine {
    const engine = this.engines.get(name);
    if (engine === undefined) throw new UnknownEngineError(name);
    return engine;
  }

  /** Publishes an upstream as leaving. */
  publishLeaving(name: string): void {
    const key = `Upstream/${name}`;
    const document = this.documents.get(key);
    if (document?.kind !== 'Upstream') throw new UnknownEngineError(name);
    const spec = {...document.spec, state: 'leaving' as const};
    this.documents.set(key, {...document, spec});
    this.configuration = this.build();
  }

  /** A runner on `host`, with a view of its own. */
  makeRunner(
    host: HostSpec,
    parts: Partial<CompletionRunnerParts> = {},
  ): CompletionRunner {
    this.runners += 1;
    const run = this.runners;
    let attempts = 0;
    return new CompletionRunner({
      clock: this.clock,
      random: seededRandom(this.spec.seed + run),
      owner: {
        host: hostId(host.name),
        incarnation: incarnation(`${host.name}-${run}`),
      },
      failureDomain: failureDomainId(host.failureDomain),
      engines: this.directoryOf(host),
      configuration: () => this.configuration,
      makeAttemptId: () => `${host.name}-${run}-${(attempts += 1)}`,
      ...parts,
    });
  }

  makeRequest(spec: RequestSpec): CompletionRequest {
    this.requests += 1;
    return {
      request: requestId(`request-${this.requests}`),
      account: accountId(spec.account) as AccountId,
      route: this.routeOf(spec.service),
      model,
      prompt: spec.prompt,
      promptTokens: spec.promptTokens,
      maximumTokens: spec.maximumTokens,
      deadline: this.clock.now() + spec.timeoutMilliseconds,
    };
  }

  /** True while the two failure domains can reach each other. */
  canReach(from: string, to: string): boolean {
    if (from === to) return true;
    return !this.cutDomains.has(from) && !this.cutDomains.has(to);
  }

  private directoryOf(host: HostSpec): CompletionRunnerParts['engines'] {
    const connected = new Map(
      this.spec.engines.map(({name, failureDomain}) => [
        name,
        connectEngine(this.engine(name), address => this.engine(address), {
          delayMilliseconds:
            failureDomain === host.failureDomain
              ? 0
              : this.spec.domainDelayMilliseconds,
          isReachable: () => this.canReach(host.failureDomain, failureDomain),
        }),
      ]),
    );
    return {engineOf: upstream => connected.get(upstream.name)!};
  }

  private routeOf(service: 'targeted' | 'deferrable'): Route {
    return this.configuration.routes.find(({name}) => name === service)!;
  }

  private build(): Configuration {
    const built = buildConfiguration(1n, [...this.documents.values()]);
    if (built.isErr) throw new FleetConfigurationError(built.error);
    return built.value;
  }
}

/** No engine of the fleet has this name. */
export class UnknownEngineError extends Error {
  constructor(readonly engine: string) {
    super(`no engine is named ${engine}`);
  }
}

/** The documents of a fleet contradict each other. */
export class FleetConfigurationError extends Error {
  constructor(readonly faults: unknown) {
    super(JSON.stringify(faults));
  }
}

function documentsOf(spec: FleetSpec): ConfigurationDocument[] {
  const target = {
    kind: 'model' as const,
    models: [model] as [string],
    prefill: {},
    decode: {},
  };
  const [first, ...others] = spec.hosts.map((host, index) => ({
    host: host.name,
    failureDomain: host.failureDomain,
    address: `127.0.0.1:${7000 + index}`,
  }));
  return [
    ...Object.entries(spec.accounts).map(([name, weight]) => ({
      kind: 'ClientAccount' as const,
      name,
      spec: {rateTokensPerSecond: 1e9, burstTokens: 1e9, weight},
    })),
    ...(['prefill', 'decode'] as const).map(role => ({
      kind: 'Pool' as const,
      name: role,
      spec: {role, model, upstreams: {matchLabels: {role}}},
    })),
    ...spec.engines.map(({name, role, failureDomain}, index) => ({
      kind: 'Upstream' as const,
      name,
      labels: {role},
      spec: {address: `127.0.0.1:${9000 + index}`, failureDomain},
    })),
    {
      kind: 'Route',
      name: 'targeted',
      spec: {
        target,
        accounts: {},
        service: {
          kind: 'targeted',
          firstTokenMilliseconds: spec.firstTokenMilliseconds,
          betweenTokensMilliseconds: spec.betweenTokensMilliseconds,
        },
      },
    },
    {
      kind: 'Route',
      name: 'deferrable',
      spec: {target, accounts: {}, service: {kind: 'deferrable'}},
    },
    {
      kind: 'Membership',
      name: 'fleet',
      spec: {members: [first!, ...others]},
    },
  ];
}
