/** Which keys changed between the versions that were in force lately. */

interface HistoryEntry {
  readonly from: bigint;
  readonly keys: ReadonlySet<string>;
}

/** Bounded in entries and in keys; the oldest entries go first. */
export class ChangeHistory {
  private entries: HistoryEntry[] = [];
  private keyCount = 0;

  constructor(
    private readonly maximumEntries: number,
    private readonly maximumKeys: number,
  ) {}

  /** Notes what changed from version `from` to the one now in force. */
  add(from: bigint, keys: ReadonlySet<string>): void {
    this.entries.push({from, keys});
    this.keyCount += keys.size;
    while (
      this.entries.length > this.maximumEntries ||
      this.keyCount > this.maximumKeys
    )
      this.keyCount -= this.entries.shift()!.keys.size;
  }

  /** Keys that changed after `version`; undefined when that is forgotten. */
  keysAfter(version: bigint): ReadonlySet<string> | undefined {
    const start = this.entries.findIndex(entry => entry.from === version);
    if (start < 0) return undefined;
    const keys = new Set<string>();
    for (const entry of this.entries.slice(start))
      for (const key of entry.keys) keys.add(key);
    return keys;
  }
}
