/** Keeps the newest accepted configuration of the platform in force. */

import {applyChanges, emptyConfiguration} from '@persimmonwick/coordination';
import type {Clock, Configuration} from '@persimmonwick/coordination';
import type {EventLog} from '../log/logger.js';
import type {ConfigurationPage, PlatformClient} from './platform-client.js';

const retryMilliseconds = 500;

export class ConfigurationWatcher {
  private configuration: Configuration = emptyConfiguration;
  private readonly closing = new AbortController();
  private task: Promise<void> | undefined;
  private markReady: () => void = () => {};
  /** Resolves when a first version is in force. */
  readonly ready = new Promise<void>(resolve => {
    this.markReady = resolve;
  });

  constructor(
    private readonly client: PlatformClient,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly watchTimeoutMilliseconds: number,
    private readonly onApplied: (configuration: Configuration) => void,
  ) {}

  /** The configuration in force. */
  get current(): Configuration {
    return this.configuration;
  }

  start(): void {
    this.task = this.watch();
  }

  async close(): Promise<void> {
    this.closing.abort();
    await this.task;
  }

  private async watch(): Promise<void> {
    const {signal} = this.closing;
    while (!signal.aborted) {
      const page = await this.client.watch(
        this.configuration.version,
        this.watchTimeoutMilliseconds,
        signal,
      );
      if (signal.aborted) return;
      if (page.isOk) {
        this.apply(page.value);
        continue;
      }
      this.log.write('platformUnreachable', {
        address: page.error.address,
        reason: page.error.reason,
      });
      await this.clock.sleep(retryMilliseconds, signal);
    }
  }

  private apply(page: ConfigurationPage): void {
    if (page.to <= this.configuration.version) return;
    const next = applyChanges(this.configuration, page.to, page.changes);
    if (next.isErr) {
      this.log.write('configurationRefused', {
        version: Number(page.to),
        faults: JSON.stringify(next.error.slice(0, 5)),
      });
      return;
    }
    this.configuration = next.value;
    this.markReady();
    this.onApplied(next.value);
    this.log.write('configurationApplied', {
      version: Number(page.to),
      documents: next.value.documents.size,
      source: 'platform',
    });
  }
}
