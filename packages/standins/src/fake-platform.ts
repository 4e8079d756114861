/**
 * A fake configuration service: versioned documents and a host list, to be read
 * and watched. It counts calls, and can be down, stale or answer garbage.
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

/** How the platform misbehaves. */
export type PlatformFault = 'none' | 'down' | 'garbage';

export class FakePlatform {
  fault: PlatformFault = 'none';
  /** When set, readers see nothing after this version. */
  staleVersion: number | undefined;
  calls = 0;
  hosts: HostListEntry[] = [];
  address = '';
  private readonly server: FastifyInstance = createServer();
  private readonly history: PublishedChange[] = [];
  private readonly latest = new Map<string, PublishedChange>();
  private waiters: Array<() => void> = [];
  private version = 0;

  constructor() {
    this.server.addHook('onRequest', async (_request, reply) => {
      this.calls += 1;
      if (this.fault === 'down') await reply.code(503).send();
      if (this.fault === 'garbage') await reply.code(200).send('{"to":"x"');
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

  /** Publishes all `documents` as one version and returns it. */
  publish(...documents: Array<{kind: string; name: string}>): number {
    this.version += 1;
    for (const document of documents)
      this.store(`${document.kind}/${document.name}`, document);
    return this.announce();
  }

  /** Withdraws a document, as a version of its own. */
  withdraw(key: string): number {
    this.version += 1;
    this.store(key, null);
    return this.announce();
  }

  async close(): Promise<void> {
    this.announce();
    await this.server.close();
  }

  private store(key: string, document: unknown): void {
    const change = {version: this.version, key, document};
    this.history.push(change);
    this.latest.set(key, change);
  }

  private announce(): number {
    const waiting = this.waiters;
    this.waiters = [];
    for (const wake of waiting) wake();
    return this.version;
  }

  private async readDocuments(query: Record<string, string>) {
    const after = Number(query['after'] ?? 0);
    const visible = () => Math.min(this.version, this.staleVersion ?? Infinity);
    if (visible() <= after && query['waitMilliseconds'] !== undefined)
      await this.waitForChange(Number(query['waitMilliseconds']));
    const to = visible();
    const changes =
      after === 0 && this.staleVersion === undefined
        ? [...this.latest.values()].filter(change => change.document !== null)
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
