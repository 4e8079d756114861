/** Answers peers that ask for changes of the configuration. */

import type {Clock} from '../clock.js';
import type {
  ConfigurationReply,
  ConfigurationRequest,
  DocumentChange,
} from '../generated/messages/persimmonwick/configuration.js';
import type {PeerHandler} from '../peers/transport.js';
import type {ConfigurationStore} from './configuration-store.js';
import {writeChange} from './configuration-page.js';

/** Greatest size of a page, unless a single document is larger. */
export const maximumPageBytes = 1_000_000;

/** Longest wait that a peer is granted. */
const maximumWaitMilliseconds = 30_000;

/** Bytes of a change besides its key and document. */
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
    // A transfer that another version has overtaken starts again.
    const afterKey =
      request.transferVersion === version ? request.afterKey : '';
    return this.page(afterVersion, afterKey);
  }

  private page(afterVersion: bigint, afterKey: string): ConfigurationReply {
    const {version, documents} = this.store.current;
    const changed = this.store.keysChangedAfter(afterVersion);
    const keys = [...(changed ?? documents.keys())]
      .filter(key => key > afterKey)
      .sort();
    const changes: DocumentChange[] = [];
    let bytes = 0;
    for (const key of keys) {
      const change = writeChange(key, documents.get(key));
      bytes += sizeOf(change);
      if (bytes > maximumPageBytes && changes.length > 0) break;
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

function sizeOf({key, document}: DocumentChange): number {
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
