/**
 * The configuration in force at one host. It only moves forward, whatever the
 * order in which pages come in, and keeps the last good version while newer
 * ones are refused.
 */

import type {Clock} from '../clock.js';
import {ChangeHistory} from './change-history.js';
import type {Configuration} from './configuration.js';
import {configurationOfSet, emptyConfiguration} from './configuration.js';
import type {
  ConfigurationOrigin,
  ConfigurationPage,
} from './configuration-page.js';
import type {ChangedDocumentSet} from './document-set.js';
import {changeDocumentSet, emptyDocumentSet} from './document-set.js';
import type {DocumentFault} from './documents.js';

/** What became of a page. */
export type PageOutcome =
  /** A newer version is in force. */
  | {readonly kind: 'applied'; readonly version: bigint}
  /** Nothing that was not known. */
  | {readonly kind: 'known'}
  /** The page is relative to a version that this host does not have. */
  | {readonly kind: 'gap'}
  | {readonly kind: 'refused'; readonly faults: readonly DocumentFault[]};

/** A version that failed its check. */
export interface RefusedVersion {
  readonly version: bigint;
  readonly origin: ConfigurationOrigin;
  readonly faults: readonly DocumentFault[];
}

export type ConfigurationListener = (
  configuration: Configuration,
  previous: Configuration,
) => void;

export interface ConfigurationStoreParts {
  readonly clock: Clock;
  /** Called once for each version that is refused. */
  readonly onRefused?: (refused: RefusedVersion) => void;
  /** Called for each version that takes force. */
  readonly onApplied?: (
    configuration: Configuration,
    origin: ConfigurationOrigin,
  ) => void;
}

const maximumHistoryEntries = 2048;
const maximumHistoryKeys = 65_536;
const maximumRefusedVersions = 256;

/** Timers of the process take no longer time. */
const longestSleepMilliseconds = 2 ** 31 - 1;

/** A refused version: its documents may be mended by the next one. */
interface Candidate {
  readonly version: bigint;
  /** With the keys in which it differs from the configuration in force. */
  readonly set: ChangedDocumentSet;
}

export class ConfigurationStore {
  private inForce: Configuration = emptyConfiguration;
  private candidate: Candidate | undefined;
  private readonly listeners = new Set<ConfigurationListener>();
  private readonly reported = new Set<bigint>();
  private readonly history = new ChangeHistory(
    maximumHistoryEntries,
    maximumHistoryKeys,
  );

  constructor(private readonly parts: ConfigurationStoreParts) {}

  /** The configuration in force. */
  get current(): Configuration {
    return this.inForce;
  }

  /** The newest version that was read, accepted or not. */
  get newestReadVersion(): bigint {
    return this.candidate?.version ?? this.inForce.version;
  }

  /** Calls `listener` after each change; the result ends that. */
  subscribe(listener: ConfigurationListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Keys that changed after `version`; undefined when that is forgotten. */
  keysChangedAfter(version: bigint): ReadonlySet<string> | undefined {
    return this.history.keysAfter(version);
  }

  /** Puts the page's version in force if it is newer and free of faults. */
  apply(page: ConfigurationPage, origin: ConfigurationOrigin): PageOutcome {
    if (page.to <= this.inForce.version) return {kind: 'known'};
    if (page.to === this.candidate?.version) return {kind: 'known'};
    const set = this.changedSet(page);
    if (set === undefined) return {kind: 'gap'};
    const checked = configurationOfSet(this.inForce, page.to, set);
    if (checked.isErr) {
      this.refuse({version: page.to, set}, origin, checked.error);
      return {kind: 'refused', faults: checked.error};
    }
    this.putInForce(checked.value, set.touchedKeys, origin);
    return {kind: 'applied', version: page.to};
  }

  /**
   * Forgets the newest refused version, so that the next read starts at the
   * version in force: a reader that is behind may never offer what follows.
   */
  forgetRefused(): void {
    this.candidate = undefined;
  }

  /** True when `version` is in force by `deadline` on the host's clock. */
  async waitForVersion(
    version: bigint,
    deadline: number,
    signal?: AbortSignal,
  ): Promise<boolean> {
    if (this.inForce.version >= version) return true;
    const ended = new AbortController();
    const end = () => ended.abort();
    const unsubscribe = this.subscribe(current => {
      if (current.version >= version) end();
    });
    signal?.addEventListener('abort', end, {once: true});
    if (signal?.aborted) end();
    const {clock} = this.parts;
    while (!ended.signal.aborted && clock.now() < deadline) {
      const left = deadline - clock.now();
      await clock.sleep(Math.min(left, longestSleepMilliseconds), ended.signal);
    }
    signal?.removeEventListener('abort', end);
    unsubscribe();
    return this.inForce.version >= version;
  }

  private changedSet(page: ConfigurationPage): ChangedDocumentSet | undefined {
    const {documents, version} = this.inForce;
    if (page.reset === true || page.from === 0n)
      return withTouchedKeys(
        changeDocumentSet(emptyDocumentSet, page.changes),
        new Set(documents.keys()),
      );
    if (page.from === version)
      return changeDocumentSet({documents, malformed: new Map()}, page.changes);
    if (page.from !== this.candidate?.version) return undefined;
    const base = this.candidate.set;
    return withTouchedKeys(
      changeDocumentSet(base, page.changes),
      base.touchedKeys,
    );
  }

  private refuse(
    candidate: Candidate,
    origin: ConfigurationOrigin,
    faults: readonly DocumentFault[],
  ): void {
    this.candidate = candidate;
    const {version} = candidate;
    if (this.reported.has(version)) return;
    this.reported.add(version);
    const [oldest] = this.reported;
    if (this.reported.size > maximumRefusedVersions)
      this.reported.delete(oldest!);
    this.parts.onRefused?.({version, origin, faults});
  }

  private putInForce(
    next: Configuration,
    touchedKeys: ReadonlySet<string>,
    origin: ConfigurationOrigin,
  ): void {
    const previous = this.inForce;
    this.inForce = next;
    if (next.version >= this.newestReadVersion) this.candidate = undefined;
    else this.rebaseCandidate(touchedKeys);
    this.history.add(previous.version, touchedKeys);
    this.parts.onApplied?.(next, origin);
    for (const listener of [...this.listeners]) listener(next, previous);
  }

  /** The candidate now also differs in what the version in force changed. */
  private rebaseCandidate(touchedKeys: ReadonlySet<string>): void {
    if (this.candidate === undefined) return;
    const {version, set} = this.candidate;
    this.candidate = {version, set: withTouchedKeys(set, touchedKeys)};
  }
}

function withTouchedKeys(
  set: ChangedDocumentSet,
  more: ReadonlySet<string>,
): ChangedDocumentSet {
  const touchedKeys = new Set([...more, ...set.touchedKeys]);
  return {...set, touchedKeys};
}
