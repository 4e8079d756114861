/**
 * What a host knows from the platform: the configuration in force with the proof
 * that it is the newest, and the list of upstreams. Logs each change.
 */

import {
  ConfigurationFreshness,
  PeerVersions,
  RestoreEpochs,
  RouteTable,
  buildConfiguration,
  coldRulesOf,
  matchesSelector,
  maximumReportedPools,
} from '@persimmonwick/coordination';
import type {
  AccountId,
  AccountRate,
  Beat,
  Clock,
  ColdRuleEntry,
  SoftwareVersionHistory,
  UpstreamDocument,
  UpstreamTable,
} from '@persimmonwick/coordination';
import type {EventLog} from '../log/logger.js';
import {logUpstreamChanges} from './passthrough-log.js';
import type {CallerLimits} from './passthrough-server.js';
import type {FeedSink, PublishedConfiguration} from './platform-feed.js';

/** Limits until the first configuration arrives. */
const initialLimits: CallerLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 4 * 1024 * 1024,
  headersTimeoutMilliseconds: 5000,
  keepAliveTimeoutMilliseconds: 15_000,
};

export interface PlatformStateParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly upstreams: UpstreamTable;
  readonly versionHistory: SoftwareVersionHistory;
  /** Maximum age of a proof of freshness; undefined if there is no limit. */
  readonly maximumProofAge: () => number | undefined;
  /** Called when the limits for callers have changed. */
  readonly onLimits: () => void;
  /**
   * Called with the listed upstreams of pools that state a rate for cold ones,
   * when the list or the configuration has changed.
   */
  readonly onColdRules: (entries: readonly ColdRuleEntry[]) => void;
  /** Called when both a configuration and a list of upstreams are known. */
  readonly onComplete: () => void;
}

export class PlatformState implements FeedSink {
  readonly freshness: ConfigurationFreshness;
  readonly epochs: RestoreEpochs;
  routes: RouteTable | undefined;
  limits = initialLimits;
  private readonly peerVersions: PeerVersions;
  private hasUpstreams = false;
  private isReachable: boolean | undefined;
  private supersededVersion: bigint | undefined;
  private refusedVersion: bigint | undefined;

  constructor(private readonly parts: PlatformStateParts) {
    const {clock, maximumProofAge} = parts;
    this.freshness = new ConfigurationFreshness({
      clock,
      get maximumAgeMilliseconds() {
        return maximumProofAge();
      },
    });
    this.epochs = new RestoreEpochs(clock);
    this.peerVersions = new PeerVersions(clock);
  }

  /** Whether a configuration and a list of upstreams are known. */
  get isComplete(): boolean {
    return this.hasUpstreams && this.routes !== undefined;
  }

  /** Version of the configuration in force; undefined if there is none. */
  get versionInForce(): bigint | undefined {
    return this.routes?.configuration.version;
  }

  onConfiguration(
    published: PublishedConfiguration,
    readStartedAt: number,
  ): boolean {
    const {version, documents, limits} = published;
    if (this.peerVersions.provesLoss(version, readStartedAt)) {
      this.reportSuperseded(version);
      return false;
    }
    const currentVersion = this.versionInForce ?? -1n;
    if (version < currentVersion) this.reportSuperseded(version);
    if (version <= currentVersion) return version === currentVersion;
    const configuration = buildConfiguration(version, documents);
    if (configuration.isErr) {
      this.reportRefused(version, configuration.error);
      return false;
    }
    this.routes = new RouteTable(configuration.value);
    this.parts.versionHistory.recordRouting(this.routes.describeRouting());
    this.limits = limits;
    this.parts.onLimits();
    this.reportColdRules();
    this.reportIfComplete();
    this.parts.log.write('configurationApplied', {
      version: Number(version),
      documents: documents.length,
      source: 'platform',
    });
    return true;
  }

  onRestore(epoch: number): void {
    this.parts.versionHistory.restart();
    this.parts.log.write('platformRestored', {
      epoch,
      version: Number(this.versionInForce ?? 0n),
    });
  }

  /** Logs a version that is read again and again only once. */
  private reportRefused(version: bigint, faults: readonly unknown[]): void {
    if (version === this.refusedVersion) return;
    this.refusedVersion = version;
    this.parts.log.write('configurationRefused', {
      version: Number(version),
      faults: JSON.stringify(faults.slice(0, 5)),
    });
  }

  /** Logs a version that the store returns instead of a newer one, once. */
  private reportSuperseded(version: bigint): void {
    if (version === this.supersededVersion) return;
    this.supersededVersion = version;
    this.parts.log.write('configurationSuperseded', {
      version: Number(version),
      inForce: Number(this.versionInForce ?? 0n),
    });
  }

  onUpstreams(
    upstreams: ReadonlyMap<string, UpstreamDocument>,
    readStartedAt: number,
    isCurrent: boolean,
  ): void {
    this.hasUpstreams = true;
    const changes = this.parts.upstreams.replace(upstreams);
    this.reportColdRules();
    this.reportIfComplete();
    logUpstreamChanges(this.parts.log, changes);
    this.parts.versionHistory.record(
      upstreams.values(),
      readStartedAt,
      isCurrent && this.epochs.isSettled(),
    );
  }

  onEvacuations(failureDomains: ReadonlySet<string>): void {
    const {upstreams, log} = this.parts;
    const {begun, ended} = upstreams.replaceEvacuations(failureDomains);
    const evacuated = failureDomains.size;
    for (const domain of begun)
      log.write('domainEvacuated', {domain, evacuated});
    for (const domain of ended)
      log.write('domainReturned', {domain, evacuated});
  }

  onReachability(isReachable: boolean, reason: string): void {
    if (this.isReachable === isReachable) return;
    this.isReachable = isReachable;
    this.parts.log.write(isReachable ? 'platformRegained' : 'platformLost', {
      reason,
      proofAge: Math.round(this.freshness.age()),
    });
  }

  onReadFailure(subject: string, reason: string): void {
    this.parts.log.write('platformReadFailed', {subject, reason});
  }

  onMalformedValue(key: string, reason: string): void {
    this.parts.log.write('platformValueIgnored', {key, reason});
  }

  /** Records what a peer knows of the platform. */
  recordPeer(heartbeat: Beat): void {
    this.peerVersions.record(heartbeat.configurationVersion);
    if (heartbeat.platformEpoch > 0n)
      this.epochs.recordPeer(
        Number(heartbeat.platformEpoch),
        Number(heartbeat.platformEpochAgeMilliseconds),
      );
  }

  /** Names of the pools of which this host can reach no upstream. */
  unreachablePools(): string[] {
    const pools = this.routes?.configuration.pools ?? [];
    return pools
      .filter(pool => this.parts.upstreams.isOutOfReach(pool))
      .slice(0, maximumReportedPools)
      .map(({name}) => name);
  }

  /** Path that an upstream answers without work; undefined if none is known. */
  healthPathOf({labels = {}}: UpstreamDocument): string | undefined {
    return this.routes?.configuration.pools.find(
      ({spec}) =>
        spec.healthPath !== undefined &&
        matchesSelector(spec.upstreams, labels),
    )?.spec.healthPath;
  }

  /** Rate and burst of an account; undefined if it has no limit. */
  rateOf(account: AccountId): AccountRate | undefined {
    const spec = this.routes?.configuration.accounts.get(account)?.spec;
    if (spec === undefined || spec.unlimited === true) return undefined;
    return {
      tokensPerSecond: spec.rateTokensPerSecond,
      burstTokens: spec.burstTokens,
    };
  }

  private reportColdRules(): void {
    const pools = this.routes?.configuration.pools ?? [];
    const entries = coldRulesOf(pools, this.parts.upstreams);
    if (entries.length > 0) this.parts.onColdRules(entries);
  }

  private reportIfComplete(): void {
    if (this.isComplete) this.parts.onComplete();
  }
}
