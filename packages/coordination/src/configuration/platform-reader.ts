/** Reads the platform once at a time and hands what it gives to the store. */

import type {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {
  ConfigurationPage,
  PlatformError,
  PlatformSource,
} from './configuration-page.js';
import type {ConfigurationStore} from './configuration-store.js';

export interface PlatformReaderParts {
  readonly clock: Clock;
  readonly store: ConfigurationStore;
  readonly platform: PlatformSource;
  /** Called when the platform fails after it answered, or at first. */
  readonly onPlatformError?: (error: PlatformError) => void;
}

export class PlatformReader {
  private isFailing = false;
  private mustReadAll = false;

  constructor(
    private readonly parts: PlatformReaderParts,
    /** Time beyond the wait after which a silent read is given up. */
    private readonly graceMilliseconds: number,
  ) {}

  /** Reads once; true when the next read may follow at once. */
  async read(waitMilliseconds: number, signal: AbortSignal): Promise<boolean> {
    const {store} = this.parts;
    const after = this.mustReadAll ? 0n : store.newestReadVersion;
    const answer = await this.watch(after, waitMilliseconds, signal);
    if (signal.aborted) return false;
    if (answer.isErr) {
      if (!this.isFailing) this.parts.onPlatformError?.(answer.error);
      this.isFailing = true;
      return false;
    }
    this.isFailing = false;
    return this.take(answer.value, after);
  }

  private take(page: ConfigurationPage, after: bigint): boolean {
    const {store} = this.parts;
    const outcome = store.apply(page, {kind: 'platform'});
    this.mustReadAll = outcome.kind === 'gap';
    // The reader does not know the refused version: it is behind, or the
    // version came from elsewhere. Only the version in force is common ground.
    if (outcome.kind === 'known' && page.to < after) store.forgetRefused();
    return outcome.kind === 'applied' || outcome.kind === 'refused';
  }

  private async watch(
    after: bigint,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<Result<ConfigurationPage, PlatformError>> {
    const {clock, platform} = this.parts;
    const ended = new AbortController();
    const end = () => ended.abort();
    signal.addEventListener('abort', end);
    void clock
      .sleep(waitMilliseconds + this.graceMilliseconds, ended.signal)
      .then(end);
    const answer = await platform.watch(after, waitMilliseconds, ended.signal);
    signal.removeEventListener('abort', end);
    end();
    return answer;
  }
}
