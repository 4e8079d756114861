/**
 * The newest configuration version that peers have in force. A read of the
 * platform that began after a peer reported a newer version shows that the store
 * has lost that version, and its writer has not repeated it yet.
 */

import type {Clock} from '../clock.js';

/**
 * Time for which a reported version makes older reads invalid. A writer repeats
 * a lost version within seconds; a wrong report must not last.
 */
const reportLifetimeMilliseconds = 10_000;

export class PeerVersions {
  private newest = {version: -1n, reportedAt: -Infinity};

  constructor(private readonly clock: Clock) {}

  /** Records the version that a peer has in force. */
  record(version: bigint): void {
    if (version > this.newest.version)
      this.newest = {version, reportedAt: this.clock.now()};
  }

  /**
   * Returns whether the store has lost a newer version than `version`, which a
   * read that started at `readStartedAt` returned.
   */
  provesLoss(version: bigint, readStartedAt: number): boolean {
    const {version: newest, reportedAt} = this.newest;
    return (
      version < newest &&
      reportedAt < readStartedAt &&
      this.clock.now() - reportedAt < reportLifetimeMilliseconds
    );
  }
}
