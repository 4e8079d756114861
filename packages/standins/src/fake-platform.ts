/**
 * A fake configuration service that serves versioned documents and a host list,
 * with long polling. It counts calls and can be down, stale or return invalid
 * responses.
 */

import type {FastifyInstance} from 'fastify';
import {createServer, listen} from './http-server.js';

interface PublishedChange {
  readonly version: number;
  readonly key: string;
  readonly document: unknown;
}

interface HostListEntry {
  readonly host: string;
  readonly state: 'live' | 'leaving';
}

/** A fault of the platform. */
export type FakePlatformFault = 'none' | 'down' | 'invalid-responses';

export class FakePlatform {
  fault: FakePlatformFault = 'none';
  /** When set, newer versions are hidden from readers. */
  staleVersion: number | undefined;
  calls = 0;
  hosts: HostListEntry[] = [];
  address = '';
  private readonly server: FastifyInstance = createServer();
  private readonly history: PublishedChange[] = [];
  private readonly latestChanges = new Map<string, PublishedChange>();
  private waiters: Array<() => void> = [];
  private version = 0;

  constructor() {
    this.server.addHook('onRequest', async (_request, reply) => {
      this.calls += 1;
      if (this.fault === 'down') await reply.code(503).send();
      if (this.fault === 'invalid-responses')
        await reply.code(200).send('{"to":"x"');
    });
    this.server.get('/v1/documents', request =>
      this.readDocuments(request.query as Record<string, string>),
    );
    this.server.get('/v1/hosts', () => ({hosts: this.hosts}));
  }

  async listen(port = 0): Promise<string> {
    this.address = await listen(this.server, port);
    return this.address;
  }

  /** Publishes `documents` as one new version and returns its number. */
  publish(...documents: Array<{kind: string; name: string}>): number {
    this.version += 1;
    for (const document of documents)
      this.recordChange(`${document.kind}/${document.name}`, document);
    return this.notifyWaiters();
  }

  /** Withdraws a document as one new version and returns its number. */
  withdraw(key: string): number {
    this.version += 1;
    this.recordChange(key, null);
    return this.notifyWaiters();
  }

  async close(): Promise<void> {
    this.notifyWaiters();
    await this.server.close();
  }

  private recordChange(key: string, document: unknown): void {
    const change = {version: this.version, key, document};
    this.history.push(change);
    this.latestChanges.set(key, change);
  }

  private notifyWaiters(): number {
    const waiters = this.waiters;
    this.waiters = [];
    for (const wake of waiters) wake();
    return this.version;
  }

  private async readDocuments(query: Record<string, string>) {
    const after = Number(query['after'] ?? 0);
    const visibleVersion = () =>
      Math.min(this.version, this.staleVersion ?? Infinity);
    if (visibleVersion() <= after && query['waitMilliseconds'] !== undefined)
      await this.waitForChange(Number(query['waitMilliseconds']));
    const to = visibleVersion();
    const changes =
      after === 0 && this.staleVersion === undefined
        ? [...this.latestChanges.values()].filter(
            change => change.document !== null,
          )
        : this.history.filter(
            change => change.version > after && change.version <= to,
          );
    return {
      from: after,
      to,
      changes: changes.map(({key, document}) => ({key, document})),
    };
  }

  private waitForChange(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, milliseconds);
      this.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
