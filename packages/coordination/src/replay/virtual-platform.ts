/** A configuration platform in virtual time that serves versioned documents. */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {
  ConfigurationPage,
  PlatformSource,
} from '../configuration/configuration-page.js';
import type {ConfigurationChange} from '../configuration/document-set.js';

interface PublishedChange {
  readonly version: bigint;
  readonly change: ConfigurationChange;
}

const pollIntervalMilliseconds = 50;

export class VirtualPlatform {
  isDown = false;
  /** When set, newer versions are hidden from readers. */
  staleVersion: bigint | undefined;
  private readonly publishedChanges: PublishedChange[] = [];
  private newestVersion = 0n;

  constructor(private readonly clock: Clock) {}

  /** Publishes `changes` as one new version and returns its number. */
  publish(changes: readonly ConfigurationChange[]): bigint {
    this.newestVersion += 1n;
    for (const change of changes)
      this.publishedChanges.push({version: this.newestVersion, change});
    return this.newestVersion;
  }

  /** Returns the interface for a host whose failure domain may be partitioned. */
  sourceFor(isReachable: () => boolean): PlatformSource {
    return {
      watch: async (afterVersion, waitMilliseconds, signal) => {
        const deadline = this.clock.now() + waitMilliseconds;
        for (;;) {
          if (this.isDown || !isReachable()) return unreachableError;
          const page = this.pageAfter(afterVersion);
          if (page.to > afterVersion) return Result.ok(page);
          if (this.clock.now() >= deadline || signal.aborted)
            return Result.ok(page);
          await this.clock.sleep(pollIntervalMilliseconds, signal);
        }
      },
    };
  }

  private pageAfter(from: bigint): ConfigurationPage {
    const to =
      this.staleVersion !== undefined && this.staleVersion < this.newestVersion
        ? this.staleVersion
        : this.newestVersion;
    const changes = this.publishedChanges
      .filter(({version}) => version > from && version <= to)
      .map(({change}) => change);
    return {from, to, changes};
  }
}

const unreachableError: Awaited<ReturnType<PlatformSource['watch']>> =
  Result.err({
    kind: 'unreachable',
    address: 'platform',
    reason:
      'the platform is down or the failure domain of the host is partitioned',
  });
