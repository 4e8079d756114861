/** The host list of the platform, which can be out of date. */

import type {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {PlatformError} from '../configuration/configuration-page.js';
import type {HostId, Incarnation} from '../ids.js';
import type {RandomSource} from '../random.js';

/** One entry of the host list of the platform. */
export interface HostHint {
  readonly host: HostId;
  readonly state: 'live' | 'leaving';
}

/** Reads the host list of the platform. Never rejects. */
export interface HostHintSource {
  read(
    signal: AbortSignal,
  ): Promise<Result<readonly HostHint[], PlatformError>>;
}

export interface HostHintReaderParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly source: HostHintSource;
  readonly onHints: (hints: readonly HostHint[]) => void;
}

const readIntervalMilliseconds = 30_000;

/** Reads the host list of the platform periodically. */
export class HostHintReader {
  private readonly closing = new AbortController();
  private task: Promise<void> | undefined;

  constructor(private readonly parts: HostHintReaderParts) {}

  start(): void {
    this.task = this.readPeriodically();
  }

  async close(): Promise<void> {
    this.closing.abort();
    await this.task;
  }

  private async readPeriodically(): Promise<void> {
    const {clock, onHints, random, source} = this.parts;
    const {signal} = this.closing;
    // A random initial delay spreads the reads of hosts that start together.
    await clock.sleep(readIntervalMilliseconds * random.next(), signal);
    while (!signal.aborted) {
      const answer = await source.read(signal);
      if (answer.isOk && !signal.aborted) onHints(answer.value);
      const jitter = 0.9 + 0.2 * random.next();
      await clock.sleep(readIntervalMilliseconds * jitter, signal);
    }
  }
}

/** The hosts that the platform lists as leaving. */
export class HostHints {
  /** Leaving hosts with their incarnation at the time of the first hint. */
  private leaving = new Map<HostId, Incarnation | undefined>();

  constructor(
    private readonly incarnationOf: (host: HostId) => Incarnation | undefined,
  ) {}

  /** Replaces the list by a newer one. */
  replace(hints: readonly HostHint[]): void {
    const next = new Map<HostId, Incarnation | undefined>();
    for (const {host, state} of hints) {
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

  /** Whether `host` is leaving. False once its leaving process was replaced. */
  isLeaving(host: HostId): boolean {
    return (
      this.leaving.has(host) &&
      this.leaving.get(host) === this.incarnationOf(host)
    );
  }
}
