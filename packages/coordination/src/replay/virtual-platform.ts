/** The platform of a trace: versioned documents on virtual time. */

import {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {
  ConfigurationPage,
  PlatformSource,
} from '../configuration/configuration-page.js';
import type {ConfigurationChange} from '../configuration/document-set.js';

interface Published {
  readonly version: bigint;
  readonly change: ConfigurationChange;
}

const pollMilliseconds = 50;

export class VirtualPlatform {
  isDown = false;
  /** Readers see nothing newer than this. */
  staleVersion: bigint | undefined;
  private readonly published: Published[] = [];
  private newest = 0n;

  constructor(private readonly clock: Clock) {}

  /** Publishes all `changes` as one version and returns it. */
  publish(changes: readonly ConfigurationChange[]): bigint {
    this.newest += 1n;
    for (const change of changes)
      this.published.push({version: this.newest, change});
    return this.newest;
  }

  /** The platform as a host reads it that may be cut off. */
  sourceFor(isReachable: () => boolean): PlatformSource {
    return {
      watch: async (afterVersion, waitMilliseconds, signal) => {
        const end = this.clock.now() + waitMilliseconds;
        for (;;) {
          if (this.isDown || !isReachable()) return unreachable;
          const page = this.pageAfter(afterVersion);
          if (page.to > afterVersion) return Result.ok(page);
          if (this.clock.now() >= end || signal.aborted) return Result.ok(page);
          await this.clock.sleep(pollMilliseconds, signal);
        }
      },
    };
  }

  private pageAfter(from: bigint): ConfigurationPage {
    const to =
      this.staleVersion !== undefined && this.staleVersion < this.newest
        ? this.staleVersion
        : this.newest;
    const changes = this.published
      .filter(({version}) => version > from && version <= to)
      .map(({change}) => change);
    return {from, to, changes};
  }
}

const unreachable: Awaited<ReturnType<PlatformSource['watch']>> = Result.err({
  kind: 'unreachable',
  address: 'platform',
  reason: 'down or cut off',
});
