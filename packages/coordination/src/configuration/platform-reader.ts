/** Reads pages from the platform and applies them to the store. */

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
  /** Called for the first failure, and for the first after each success. */
  readonly onPlatformError?: (error: PlatformError) => void;
}

export class PlatformReader {
  private isFailing = false;
  private shouldReadAll = false;

  constructor(
    private readonly parts: PlatformReaderParts,
    /**
     * Time after the requested wait at which an unanswered read is cancelled.
     */
    private readonly timeoutMarginMilliseconds: number,
  ) {}

  /** Reads once. Returns whether the next read may start without a delay. */
  async read(waitMilliseconds: number, signal: AbortSignal): Promise<boolean> {
    const {store} = this.parts;
    const after = this.shouldReadAll ? 0n : store.lastReadVersion;
    const result = await this.watch(after, waitMilliseconds, signal);
    if (signal.aborted) return false;
    if (result.isErr) {
      if (!this.isFailing) this.parts.onPlatformError?.(result.error);
      this.isFailing = true;
      return false;
    }
    this.isFailing = false;
    return this.applyPage(result.value, after);
  }

  private applyPage(page: ConfigurationPage, after: bigint): boolean {
    const {store} = this.parts;
    const outcome = store.apply(page, {kind: 'platform'});
    this.shouldReadAll = outcome.kind === 'gap';
    // The platform is behind the refused version, so it cannot return changes
    // since that version. The next read starts at the active version.
    if (outcome.kind === 'known' && page.to < after) store.discardLastRefused();
    return outcome.kind === 'applied' || outcome.kind === 'refused';
  }

  private async watch(
    after: bigint,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<Result<ConfigurationPage, PlatformError>> {
    const {clock, platform} = this.parts;
    const cancellation = new AbortController();
    const cancel = () => cancellation.abort();
    signal.addEventListener('abort', cancel);
    void clock
      .sleep(
        waitMilliseconds + this.timeoutMarginMilliseconds,
        cancellation.signal,
      )
      .then(cancel);
    const result = await platform.watch(
      after,
      waitMilliseconds,
      cancellation.signal,
    );
    signal.removeEventListener('abort', cancel);
    cancel();
    return result;
  }
}
