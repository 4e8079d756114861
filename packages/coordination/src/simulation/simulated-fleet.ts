/**
 * An in-process fleet of simulated engines with a configuration, and completion
 * runners that act for its hosts.
 */

import {buildConfiguration} from '../configuration/configuration.js';
import type {
  Configuration,
  Route,
  Upstream,
} from '../configuration/configuration.js';
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

/** Describes an engine of a simulated fleet. */
export interface SimulatedEngineSpec {
  readonly name: string;
  readonly role: 'prefill' | 'decode';
  readonly failureDomain: string;
  /** Not published if absent. */
  readonly softwareVersion?: string;
  readonly startedAt?: number;
  readonly options?: Partial<SimulatedEngineOptions>;
}

/** Describes a host of a simulated fleet. */
export interface SimulatedHostSpec {
  readonly name: string;
  readonly failureDomain: string;
}

export interface SimulatedFleetSpec {
  readonly engines: readonly SimulatedEngineSpec[];
  readonly hosts: readonly SimulatedHostSpec[];
  /** Weights by client account. */
  readonly accounts: Readonly<Record<string, number>>;
  readonly firstTokenMilliseconds: number;
  readonly betweenTokensMilliseconds: number;
  /** One-way delay between failure domains. */
  readonly domainDelayMilliseconds: number;
  readonly seed: number;
}

/** Describes a completion request to a simulated fleet. */
export interface SimulatedRequestSpec {
  readonly account: string;
  readonly service: 'targeted' | 'deferrable';
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maximumTokens: number;
  readonly timeoutMilliseconds: number;
}

const modelName = 'model';

export class SimulatedFleet {
  readonly clock = new VirtualClock();
  readonly engines = new Map<string, SimulatedEngine>();
  /** Failure domains that are partitioned from all others. */
  readonly cutDomains = new Set<string>();
  configuration: Configuration;
  private readonly documents = new Map<string, ConfigurationDocument>();
  private requestCount = 0;
  private runnerCount = 0;

  constructor(readonly spec: SimulatedFleetSpec) {
    for (const {name, options} of spec.engines)
      this.engines.set(
        name,
        new SimulatedEngine(upstreamId(name), this.clock, {
          ...defaultSimulatedEngineOptions,
          ...options,
        }),
      );
    for (const document of initialDocuments(spec))
      this.documents.set(`${document.kind}/${document.name}`, document);
    this.configuration = this.buildFromDocuments();
  }

  engine(name: string): SimulatedEngine {
    const engine = this.engines.get(name);
    if (engine === undefined) throw new UnknownEngineError(name);
    return engine;
  }

  /** Changes the state of an upstream to `leaving`. */
  publishLeaving(name: string): void {
    this.publish(name, {state: 'leaving'});
  }

  /** Changes the published document of an upstream. */
  publish(name: string, changes: Partial<Upstream['spec']>): void {
    const key = `Upstream/${name}`;
    const document = this.documents.get(key);
    if (document?.kind !== 'Upstream') throw new UnknownEngineError(name);
    const spec = {...document.spec, ...changes};
    this.documents.set(key, {...document, spec});
    this.configuration = this.buildFromDocuments();
  }

  /** Returns a new runner on `host` that shares no state with other runners. */
  makeRunner(
    host: SimulatedHostSpec,
    parts: Partial<CompletionRunnerParts> = {},
  ): CompletionRunner {
    this.runnerCount += 1;
    const runnerNumber = this.runnerCount;
    let attemptCount = 0;
    return new CompletionRunner({
      clock: this.clock,
      random: seededRandom(this.spec.seed + runnerNumber),
      owner: {
        host: hostId(host.name),
        incarnation: incarnation(`${host.name}-${runnerNumber}`),
      },
      failureDomain: failureDomainId(host.failureDomain),
      engines: this.engineDirectoryOf(host),
      configuration: () => this.configuration,
      makeAttemptId: () =>
        `${host.name}-${runnerNumber}-${(attemptCount += 1)}`,
      ...parts,
    });
  }

  makeRequest(spec: SimulatedRequestSpec): CompletionRequest {
    this.requestCount += 1;
    return {
      request: requestId(`request-${this.requestCount}`),
      account: accountId(spec.account) as AccountId,
      route: this.routeOf(spec.service),
      model: modelName,
      prompt: spec.prompt,
      promptTokens: spec.promptTokens,
      maximumTokens: spec.maximumTokens,
      deadline: this.clock.now() + spec.timeoutMilliseconds,
    };
  }

  /** Whether two failure domains can reach each other. */
  canReach(from: string, to: string): boolean {
    if (from === to) return true;
    return !this.cutDomains.has(from) && !this.cutDomains.has(to);
  }

  private engineDirectoryOf(
    host: SimulatedHostSpec,
  ): CompletionRunnerParts['engines'] {
    const connections = new Map(
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
    return {engineOf: upstream => connections.get(upstream.name)!};
  }

  private routeOf(service: 'targeted' | 'deferrable'): Route {
    return this.configuration.routes.find(({name}) => name === service)!;
  }

  private buildFromDocuments(): Configuration {
    const built = buildConfiguration(1n, [...this.documents.values()]);
    if (built.isErr) throw new FleetConfigurationError(built.error);
    return built.value;
  }
}

/** Thrown when the fleet has no engine with this name. */
export class UnknownEngineError extends Error {
  constructor(readonly engine: string) {
    super(`engine ${engine} does not exist in the fleet`);
  }
}

/** Thrown when the documents of a fleet are not a valid configuration. */
export class FleetConfigurationError extends Error {
  constructor(readonly faults: unknown) {
    super(JSON.stringify(faults));
  }
}

function initialDocuments(spec: SimulatedFleetSpec): ConfigurationDocument[] {
  const target = {
    kind: 'model' as const,
    models: [modelName] as [string],
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
      spec: {role, model: modelName, upstreams: {matchLabels: {role}}},
    })),
    ...spec.engines.map((engine, index) => ({
      kind: 'Upstream' as const,
      name: engine.name,
      labels: {role: engine.role},
      spec: {
        address: `127.0.0.1:${9000 + index}`,
        failureDomain: engine.failureDomain,
        ...(engine.softwareVersion !== undefined && {
          softwareVersion: engine.softwareVersion,
        }),
        ...(engine.startedAt !== undefined && {startedAt: engine.startedAt}),
      },
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
