/**
 * Holds the active configuration of one host. Its version only increases,
 * regardless of the order in which pages arrive. The last valid version stays
 * active while newer ones are refused.
 */

import type {Clock} from '../clock.js';
import {ChangeHistory} from './change-history.js';
import type {Configuration} from './configuration.js';
import {
  configurationFromDocuments,
  emptyConfiguration,
} from './configuration.js';
import type {
  ConfigurationOrigin,
  ConfigurationPage,
} from './configuration-page.js';
import type {ChangedDocumentSet} from './document-set.js';
import {applyToDocumentSet, emptyDocumentSet} from './document-set.js';
import type {DocumentFault} from './documents.js';

/** The result of applying a page. */
export type PageOutcome =
  /** The page made a newer version active. */
  | {readonly kind: 'applied'; readonly version: bigint}
  /**
   * The version of the page is not newer than the active one, or equals the
   * refused one.
   */
  | {readonly kind: 'known'}
  /** The page starts at a version that this host does not have. */
  | {readonly kind: 'gap'}
  /** The version of the page failed validation. */
  | {readonly kind: 'refused'; readonly faults: readonly DocumentFault[]};

/** A version that failed validation. */
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
  /** Called once for each refused version. */
  readonly onRefused?: (refused: RefusedVersion) => void;
  /** Called for each version that becomes active. */
  readonly onApplied?: (
    configuration: Configuration,
    origin: ConfigurationOrigin,
  ) => void;
}

const maximumHistoryEntries = 2048;
const maximumHistoryDocumentKeys = 65_536;
const maximumReportedVersions = 256;

/** Maximum delay of a timer in Node.js. */
const maximumTimerMilliseconds = 2 ** 31 - 1;

/**
 * The documents of the version that was refused last. Later changes can correct
 * them.
 */
interface RefusedDocuments {
  readonly version: bigint;
  /** Its changed document keys are relative to the active configuration. */
  readonly set: ChangedDocumentSet;
}

export class ConfigurationStore {
  private active: Configuration = emptyConfiguration;
  private lastRefused: RefusedDocuments | undefined;
  private readonly listeners = new Set<ConfigurationListener>();
  private readonly reportedVersions = new Set<bigint>();
  private readonly history = new ChangeHistory(
    maximumHistoryEntries,
    maximumHistoryDocumentKeys,
  );

  constructor(private readonly parts: ConfigurationStoreParts) {}

  /** The active configuration. */
  get current(): Configuration {
    return this.active;
  }

  /**
   * The version that was refused last, if that is pending, or the active one.
   */
  get lastReadVersion(): bigint {
    return this.lastRefused?.version ?? this.active.version;
  }

  /**
   * Calls `listener` after each change. Returns a function that unsubscribes.
   */
  subscribe(listener: ConfigurationListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Returns the document keys that changed after `version`, or undefined when
   * the history holds no change that starts at `version`.
   */
  documentKeysChangedAfter(version: bigint): ReadonlySet<string> | undefined {
    return this.history.documentKeysAfter(version);
  }

  /** Activates the version of `page` if it is newer and valid. */
  apply(page: ConfigurationPage, origin: ConfigurationOrigin): PageOutcome {
    if (page.to <= this.active.version) return {kind: 'known'};
    if (page.to === this.lastRefused?.version) return {kind: 'known'};
    const set = this.documentsAfterPage(page);
    if (set === undefined) return {kind: 'gap'};
    const checked = configurationFromDocuments(this.active, page.to, set);
    if (checked.isErr) {
      this.refuse({version: page.to, set}, origin, checked.error);
      return {kind: 'refused', faults: checked.error};
    }
    this.activate(checked.value, set.changedDocumentKeys, origin);
    return {kind: 'applied', version: page.to};
  }

  /**
   * Discards the version that was refused last, so the next read starts at the
   * active version. A source that is behind the refused version cannot provide
   * changes since that version.
   */
  discardLastRefused(): void {
    this.lastRefused = undefined;
  }

  /**
   * Waits until `version` or a newer one is active. Returns false at `deadline`
   * on the clock of the host, or when `signal` is aborted.
   */
  async waitForVersion(
    version: bigint,
    deadline: number,
    signal?: AbortSignal,
  ): Promise<boolean> {
    if (this.active.version >= version) return true;
    const cancellation = new AbortController();
    const cancel = () => cancellation.abort();
    const unsubscribe = this.subscribe(current => {
      if (current.version >= version) cancel();
    });
    signal?.addEventListener('abort', cancel, {once: true});
    if (signal?.aborted) cancel();
    const {clock} = this.parts;
    while (!cancellation.signal.aborted && clock.now() < deadline) {
      const remaining = deadline - clock.now();
      await clock.sleep(
        Math.min(remaining, maximumTimerMilliseconds),
        cancellation.signal,
      );
    }
    signal?.removeEventListener('abort', cancel);
    unsubscribe();
    return this.active.version >= version;
  }

  private documentsAfterPage(
    page: ConfigurationPage,
  ): ChangedDocumentSet | undefined {
    const {documents, version} = this.active;
    if (page.reset === true || page.from === 0n)
      return withChangedDocumentKeys(
        applyToDocumentSet(emptyDocumentSet, page.changes),
        new Set(documents.keys()),
      );
    if (page.from === version)
      return applyToDocumentSet(
        {documents, faultsOfMalformed: new Map()},
        page.changes,
      );
    if (page.from !== this.lastRefused?.version) return undefined;
    const base = this.lastRefused.set;
    return withChangedDocumentKeys(
      applyToDocumentSet(base, page.changes),
      base.changedDocumentKeys,
    );
  }

  private refuse(
    refused: RefusedDocuments,
    origin: ConfigurationOrigin,
    faults: readonly DocumentFault[],
  ): void {
    this.lastRefused = refused;
    const {version} = refused;
    if (this.reportedVersions.has(version)) return;
    this.reportedVersions.add(version);
    const [oldest] = this.reportedVersions;
    if (this.reportedVersions.size > maximumReportedVersions)
      this.reportedVersions.delete(oldest!);
    this.parts.onRefused?.({version, origin, faults});
  }

  private activate(
    next: Configuration,
    changedDocumentKeys: ReadonlySet<string>,
    origin: ConfigurationOrigin,
  ): void {
    const previous = this.active;
    this.active = next;
    if (next.version >= this.lastReadVersion) this.lastRefused = undefined;
    else this.rebaseLastRefused(changedDocumentKeys);
    this.history.add(previous.version, changedDocumentKeys);
    this.parts.onApplied?.(next, origin);
    for (const listener of [...this.listeners]) listener(next, previous);
  }

  /**
   * Keeps the changed document keys of the refused version relative to the new
   * active version, by adding the keys that this activation changed.
   */
  private rebaseLastRefused(changedDocumentKeys: ReadonlySet<string>): void {
    if (this.lastRefused === undefined) return;
    const {version, set} = this.lastRefused;
    this.lastRefused = {
      version,
      set: withChangedDocumentKeys(set, changedDocumentKeys),
    };
  }
}

function withChangedDocumentKeys(
  set: ChangedDocumentSet,
  more: ReadonlySet<string>,
): ChangedDocumentSet {
  const changedDocumentKeys = new Set([...more, ...set.changedDocumentKeys]);
  return {...set, changedDocumentKeys};
}
