/** Reads the platform's configuration service over HTTP long polls. */

import type {
  ConfigurationChange,
  ConfigurationPage,
  PlatformError,
  PlatformSource,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import {request} from 'undici';

/** Changes from version `from` to version `to`. A null document is withdrawn. */
interface PublishedPage {
  from: number;
  to: number;
  changes: Array<{key: string; document: unknown}>;
}

/** Creates a client of the configuration service at `address`. */
export function createPlatformClient(address: string): PlatformSource {
  const createFailure = (kind: PlatformError['kind'], reason: string) =>
    Result.err<ConfigurationPage, PlatformError>({kind, address, reason});
  return {
    async watch(afterVersion, waitMilliseconds, signal) {
      const wait = `waitMilliseconds=${waitMilliseconds}`;
      const url = `http://${address}/v1/documents?after=${afterVersion}&${wait}`;
      try {
        const response = await request(url, {signal});
        const text = await response.body.text();
        if (response.statusCode !== 200)
          return createFailure('refused', `status ${response.statusCode}`);
        const page = JSON.parse(text) as PublishedPage;
        if (!isPage(page))
          return createFailure('malformed', 'not a page of changes');
        return Result.ok({
          from: BigInt(page.from),
          to: BigInt(page.to),
          changes: page.changes.map(toChange),
        });
      } catch (error) {
        if (error instanceof SyntaxError)
          return createFailure('malformed', 'not JSON');
        return createFailure('unreachable', (error as Error).message);
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
    : {kind: 'publish', document: change.document, key: change.key};
}

function isPage(page: PublishedPage): boolean {
  return (
    Number.isSafeInteger(page?.from) &&
    Number.isSafeInteger(page.to) &&
    Array.isArray(page.changes) &&
    page.changes.every(change => typeof change?.key === 'string')
  );
}

/** Reads from one of `sources` and switches to the next one after a failure. */
export function createFailoverSource(
  sources: readonly PlatformSource[],
): PlatformSource {
  let currentIndex = 0;
  return {
    async watch(afterVersion, waitMilliseconds, signal) {
      const source = sources[currentIndex % sources.length]!;
      const page = await source.watch(afterVersion, waitMilliseconds, signal);
      if (page.isErr) currentIndex += 1;
      return page;
    },
  };
}
