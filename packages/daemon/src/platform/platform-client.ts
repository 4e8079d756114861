/** Reads and watches the platform's configuration service over HTTP. */

import type {ConfigurationChange} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import {request} from 'undici';

/** Changes from one version to another. */
export interface ConfigurationPage {
  readonly from: bigint;
  readonly to: bigint;
  readonly changes: readonly ConfigurationChange[];
}

/** Why the platform gave no page. */
export interface PlatformError {
  readonly kind: 'unreachable' | 'refused' | 'malformed';
  readonly address: string;
  readonly reason: string;
}

/** The configuration service; it can only be read. */
export interface PlatformClient {
  /** Changes after `version`; waits when there are none yet. */
  watch(
    version: bigint,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<Result<ConfigurationPage, PlatformError>>;
}

interface PublishedPage {
  from: number;
  to: number;
  changes: Array<{key: string; document: unknown}>;
}

/** A client of the configuration service at `address`. */
export function createPlatformClient(address: string): PlatformClient {
  const failed = (kind: PlatformError['kind'], reason: string) =>
    Result.err<ConfigurationPage, PlatformError>({kind, address, reason});
  return {
    async watch(version, waitMilliseconds, signal) {
      const wait = `waitMilliseconds=${waitMilliseconds}`;
      const url = `http://${address}/v1/documents?after=${version}&${wait}`;
      try {
        const answer = await request(url, {signal});
        const text = await answer.body.text();
        if (answer.statusCode !== 200)
          return failed('refused', `status ${answer.statusCode}`);
        const page = JSON.parse(text) as PublishedPage;
        if (!isPage(page)) return failed('malformed', 'not a page of changes');
        return Result.ok({
          from: BigInt(page.from),
          to: BigInt(page.to),
          changes: page.changes.map(toChange),
        });
      } catch (error) {
        if (error instanceof SyntaxError)
          return failed('malformed', 'not JSON');
        return failed('unreachable', (error as Error).message);
      }
    },
  };
}

function toChange(change: {
  key: string;
  document: unknown;
}): ConfigurationChange {
  return change.document === null
    ? {kind: 'withdraw', key: change.key}
    : {kind: 'publish', document: change.document};
}

function isPage(page: PublishedPage): boolean {
  return (
    Number.isSafeInteger(page?.from) &&
    Number.isSafeInteger(page.to) &&
    Array.isArray(page.changes) &&
    page.changes.every(change => typeof change?.key === 'string')
  );
}
