/**
 * Pages of configuration changes and their encoding between hosts. Between
 * hosts, a page is transferred in one or more replies.
 */

import {Result} from 'true-myth';
import type {
  ConfigurationReply,
  DocumentChange,
} from '../generated/messages/persimmonwick/configuration.js';
import type {HostId} from '../ids.js';
import type {ConfigurationChange} from './document-set.js';

/**
 * Changes from one version to another. A page that starts at version zero, or
 * has `reset` set, contains all documents.
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

/** The reason why a read from the platform failed. */
export interface PlatformError {
  readonly kind: 'unreachable' | 'refused' | 'malformed';
  readonly address: string;
  readonly reason: string;
}

/** Read access to the configuration service of the platform. */
export interface PlatformSource {
  /**
   * Reads the changes after `afterVersion`. Waits up to `waitMilliseconds` when
   * there are none yet. Never rejects, and resolves when `signal` is aborted.
   */
  watch(
    afterVersion: bigint,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<Result<ConfigurationPage, PlatformError>>;
}

/** A change from a peer that cannot be decoded. */
export interface MalformedChange {
  readonly kind: 'malformed-change';
  readonly key: string;
}

/** Decodes the replies of one transfer into a page. */
export function decodeReplies(
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

/**
 * Encodes the document of `key` for a peer. An undefined document encodes its
 * withdrawal.
 */
export function encodeChange(key: string, document: unknown): DocumentChange {
  return {
    key,
    document: document === undefined ? '' : JSON.stringify(document),
  };
}
