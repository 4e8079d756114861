/** The platform's list of live and leaving hosts, which lags. */

import type {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {PlatformError} from '../configuration/configuration-page.js';
import type {HostId, Incarnation} from '../ids.js';
import type {RandomSource} from '../random.js';

/** One host as the platform lists it. */
export interface HostHint {
  readonly host: HostId;
  readonly state: 'live' | 'leaving';
}

/** Where the platform's list of hosts is read; never rejects. */
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

/** Reads the platform's list of hosts from time to time. */
export class HostHintReader {
  private readonly closing = new AbortController();
  private task: Promise<void> | undefined;

  constructor(private readonly parts: HostHintReaderParts) {}

  start(): void {
    this.task = this.run();
  }

  async close(): Promise<void> {
    this.closing.abort();
    await this.task;
  }

  private async run(): Promise<void> {
    const {clock, onHints, random, source} = this.parts;
    const {signal} = this.closing;
    // The first read comes at any point of the interval: fleets start at once.
    await clock.sleep(readIntervalMilliseconds * random.next(), signal);
    while (!signal.aborted) {
      const answer = await source.read(signal);
      if (answer.isOk && !signal.aborted) onHints(answer.value);
      const jitter = 0.9 + 0.2 * random.next();
      await clock.sleep(readIntervalMilliseconds * jitter, signal);
    }
  }
}

export class HostHints {
  /** Leaving hosts with the process that was known when the hint came. */
  private leaving = new Map<HostId, Incarnation | undefined>();

  constructor(
    private readonly incarnationOf: (host: HostId) => Incarnation | undefined,
  ) {}

  /** Takes a newer list. */
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

  /** True while the process that was to leave has not been replaced. */
  isLeaving(host: HostId): boolean {
    return (
      this.leaving.has(host) &&
      this.leaving.get(host) === this.incarnationOf(host)
    );
  }
}
