/** Pages of configuration changes and their form between hosts. */

import {Result} from 'true-myth';
import type {
  ConfigurationReply,
  DocumentChange,
} from '../generated/messages/persimmonwick/configuration.js';
import type {HostId} from '../ids.js';
import type {ConfigurationChange} from './document-set.js';

/**
 * Changes from one version to another. A page from version zero, or with
 * `reset`, holds all documents.
 */
export interface ConfigurationPage {
  readonly from: bigint;
  readonly to: bigint;
  readonly changes: readonly ConfigurationChange[];
  readonly reset?: boolean;
}

/** Where a page came from. */
export type ConfigurationOrigin =
  {readonly kind: 'platform'} | {readonly kind: 'peer'; readonly host: HostId};

/** Why the platform gave no page. */
export interface PlatformError {
  readonly kind: 'unreachable' | 'refused' | 'malformed';
  readonly address: string;
  readonly reason: string;
}

/** The configuration service; it can only be read. */
export interface PlatformSource {
  /**
   * Changes after `afterVersion`; waits at most `waitMilliseconds` when there
   * are none yet. Never rejects, and ends when `signal` is aborted.
   */
  watch(
    afterVersion: bigint,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<Result<ConfigurationPage, PlatformError>>;
}

/** A change as a peer sent it made no sense. */
export interface MalformedChange {
  readonly kind: 'malformed-change';
  readonly key: string;
}

/** Reads the changes of the replies of one transfer. */
export function readReplies(
  replies: readonly ConfigurationReply[],
): Result<ConfigurationPage, MalformedChange> {
  const first = replies[0]!;
  const changes: ConfigurationChange[] = [];
  for (const {key, document} of replies.flatMap(reply => reply.changes)) {
    if (document === '') {
      changes.push({kind: 'withdraw', key});
      continue;
    }
    try {
      changes.push({kind: 'publish', key, document: JSON.parse(document)});
    } catch {
      return Result.err({kind: 'malformed-change', key});
    }
  }
  const {fromVersion: from, toVersion: to, reset} = first;
  return Result.ok({from, to, reset, changes});
}

/** The change that brings a peer the document of `key`, or its withdrawal. */
export function writeChange(key: string, document: unknown): DocumentChange {
  return {
    key,
    document: document === undefined ? '' : JSON.stringify(document),
  };
}
