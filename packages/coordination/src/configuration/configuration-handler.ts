/** Serves configuration changes to peers. */

import type {Clock} from '../clock.js';
import type {
  ConfigurationReply,
  ConfigurationRequest,
  DocumentChange,
} from '../generated/messages/persimmonwick/configuration.js';
import type {PeerHandler} from '../peers/transport.js';
import type {ConfigurationStore} from './configuration-store.js';
import {encodeChange} from './configuration-page.js';

/** Maximum size of a reply. A single larger document gets its own reply. */
export const maximumReplyBytes = 1_000_000;

/** Maximum duration of a long poll. Longer waits are shortened to it. */
const maximumWaitMilliseconds = 30_000;

/** Encoding overhead of a change besides its key and document, in bytes. */
const changeOverheadBytes = 16;

export class ConfigurationHandler implements PeerHandler<
  ConfigurationRequest,
  ConfigurationReply
> {
  constructor(
    private readonly store: ConfigurationStore,
    private readonly clock: Clock,
  ) {}

  async handle(request: ConfigurationRequest): Promise<ConfigurationReply> {
    const {afterVersion} = request;
    const wait = Math.min(request.waitMilliseconds, maximumWaitMilliseconds);
    if (wait > 0)
      await this.store.waitForVersion(
        afterVersion + 1n,
        this.clock.now() + wait,
      );
    const {version} = this.store.current;
    if (version <= afterVersion) return emptyReply(version);
    // A transfer in progress restarts when the active version has changed.
    const afterKey =
      request.transferVersion === version ? request.afterKey : '';
    return this.buildReply(afterVersion, afterKey);
  }

  private buildReply(
    afterVersion: bigint,
    afterKey: string,
  ): ConfigurationReply {
    const {version, documents} = this.store.current;
    const changed = this.store.documentKeysChangedAfter(afterVersion);
    const keys = [...(changed ?? documents.keys())]
      .filter(key => key > afterKey)
      .sort();
    const changes: DocumentChange[] = [];
    let bytes = 0;
    for (const key of keys) {
      const change = encodeChange(key, documents.get(key));
      bytes += changeBytes(change);
      if (bytes > maximumReplyBytes && changes.length > 0) break;
      changes.push(change);
    }
    return {
      fromVersion: afterVersion,
      toVersion: version,
      reset: changed === undefined,
      more: changes.length < keys.length,
      changes,
    };
  }
}

function changeBytes({key, document}: DocumentChange): number {
  return (
    Buffer.byteLength(key) + Buffer.byteLength(document) + changeOverheadBytes
  );
}

function emptyReply(version: bigint): ConfigurationReply {
  return {
    fromVersion: version,
    toVersion: version,
    reset: false,
    more: false,
    changes: [],
  };
}
