/** The host list of the platform, which can be out of date. */

import type {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {PlatformError} from '../configuration/configuration-page.js';
import type {HostId, Incarnation} from '../ids.js';
import type {RandomSource} from '../random.js';

/** One entry of the host list of the platform. */
export interface PlatformHost {
  readonly host: HostId;
  readonly state: 'live' | 'leaving';
}

/** Reads the host list of the platform. Never rejects. */
export interface PlatformHostListSource {
  read(
    signal: AbortSignal,
  ): Promise<Result<readonly PlatformHost[], PlatformError>>;
}

export interface PlatformHostListReaderParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly source: PlatformHostListSource;
  readonly onHosts: (platformHosts: readonly PlatformHost[]) => void;
}

const readIntervalMilliseconds = 30_000;

/** Reads the host list of the platform periodically. */
export class PlatformHostListReader {
  private readonly closing = new AbortController();
  private task: Promise<void> | undefined;

  constructor(private readonly parts: PlatformHostListReaderParts) {}

  start(): void {
    this.task = this.readPeriodically();
  }

  async close(): Promise<void> {
    this.closing.abort();
    await this.task;
  }

  private async readPeriodically(): Promise<void> {
    const {clock, onHosts, random, source} = this.parts;
    const {signal} = this.closing;
    // A random initial delay spreads the reads of hosts that start together.
    await clock.sleep(readIntervalMilliseconds * random.next(), signal);
    while (!signal.aborted) {
      const result = await source.read(signal);
      if (result.isOk && !signal.aborted) onHosts(result.value);
      const jitter = 0.9 + 0.2 * random.next();
      await clock.sleep(readIntervalMilliseconds * jitter, signal);
    }
  }
}

/** The hosts that the host list of the platform marks as leaving. */
export class LeavingHosts {
  /** Leaving hosts with their incarnation when they were first listed so. */
  private leaving = new Map<HostId, Incarnation | undefined>();

  constructor(
    private readonly incarnationOf: (host: HostId) => Incarnation | undefined,
  ) {}

  /** Replaces the list by a newer one. */
  replace(platformHosts: readonly PlatformHost[]): void {
    const next = new Map<HostId, Incarnation | undefined>();
    for (const {host, state} of platformHosts) {
      if (state !== 'leaving') continue;
      next.set(
        host,
        this.leaving.has(host)
          ? this.leaving.get(host)
          : this.incarnationOf(host),
      );
    }
    this.leaving = next;
  }

  /** Whether `host` is leaving. False once it has a new incarnation. */
  isLeaving(host: HostId): boolean {
    return (
      this.leaving.has(host) &&
      this.leaving.get(host) === this.incarnationOf(host)
    );
  }
}
