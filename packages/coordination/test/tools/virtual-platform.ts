/** An in-memory configuration service on virtual time that counts its calls. */

import {Result} from 'true-myth';
import type {
  Clock,
  ConfigurationChange,
  ConfigurationPage,
  PlatformError,
  PlatformSource,
} from '../../src/index.js';

export type VirtualPlatformFault = 'none' | 'down' | 'garbage' | 'silent';

interface PublishedChange {
  readonly version: bigint;
  readonly change: ConfigurationChange;
  readonly key: string;
}

export class VirtualPlatform {
  fault: VirtualPlatformFault = 'none';
  calls = 0;
  callTimes: number[] = [];
  version = 0n;
  private readonly history: PublishedChange[] = [];
  private waiters: Array<() => void> = [];

  constructor(private readonly clock: Clock) {}

  publish(...documents: Array<{kind: string; name: string}>): bigint {
    return this.change(
      ...documents.map(document => ({
        key: `${document.kind}/${document.name}`,
        change: {kind: 'publish', document} as const,
      })),
    );
  }

  withdraw(key: string): bigint {
    return this.change({key, change: {kind: 'withdraw', key}});
  }

  /** Creates a source that provides versions up to `newestVisibleVersion`. */
  source(
    newestVisibleVersion: () => bigint | undefined = () => undefined,
  ): PlatformSource {
    return {
      watch: (after, wait, signal) =>
        this.watch(after, wait, signal, newestVisibleVersion),
    };
  }

  private change(
    ...changes: Array<{key: string; change: ConfigurationChange}>
  ): bigint {
    this.version += 1n;
    for (const each of changes)
      this.history.push({...each, version: this.version});
    const waiters = this.waiters;
    this.waiters = [];
    for (const wake of waiters) wake();
    return this.version;
  }

  private async watch(
    after: bigint,
    waitMilliseconds: number,
    signal: AbortSignal,
    newestVisibleVersion: () => bigint | undefined,
  ): Promise<Result<ConfigurationPage, PlatformError>> {
    this.calls += 1;
    this.callTimes.push(this.clock.now());
    const failed = (kind: PlatformError['kind']) =>
      Result.err<ConfigurationPage, PlatformError>({
        kind,
        address: 'platform',
        reason: kind,
      });
    if (this.fault === 'down') return failed('unreachable');
    if (this.fault === 'garbage') return failed('malformed');
    if (this.fault === 'silent') {
      await this.clock.sleep(1e9, signal);
      return failed('unreachable');
    }
    const visible = () => newestVisibleVersion() ?? this.version;
    if (visible() <= after) await this.wait(waitMilliseconds, signal);
    if (signal.aborted) return failed('unreachable');
    const to = visible();
    const changes = new Map<string, ConfigurationChange>();
    for (const {version, key, change} of this.history)
      if (version > after && version <= to) changes.set(key, change);
    return Result.ok({from: after, to, changes: [...changes.values()]});
  }

  private async wait(milliseconds: number, signal: AbortSignal) {
    const cancellation = new AbortController();
    const cancel = () => cancellation.abort();
    signal.addEventListener('abort', cancel, {once: true});
    this.waiters.push(cancel);
    await this.clock.sleep(milliseconds, cancellation.signal);
  }
}
