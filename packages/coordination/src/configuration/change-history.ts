/** The document keys that changed between recent versions. */

interface HistoryEntry {
  /** The version that this change replaced. */
  readonly from: bigint;
  readonly keys: ReadonlySet<string>;
}

/**
 * Bounded in entries and in document keys. The oldest entries are evicted
 * first.
 */
export class ChangeHistory {
  private entries: HistoryEntry[] = [];
  private keyCount = 0;

  constructor(
    private readonly maximumEntries: number,
    private readonly maximumKeys: number,
  ) {}

  /**
   * Records the document keys that changed from `from` to the active version.
   */
  add(from: bigint, keys: ReadonlySet<string>): void {
    this.entries.push({from, keys});
    this.keyCount += keys.size;
    while (
      this.entries.length > this.maximumEntries ||
      this.keyCount > this.maximumKeys
    )
      this.keyCount -= this.entries.shift()!.keys.size;
  }

  /**
   * Returns the document keys that changed after `version`, or undefined when
   * the history holds no change that starts at `version`.
   */
  documentKeysAfter(version: bigint): ReadonlySet<string> | undefined {
    const start = this.entries.findIndex(entry => entry.from === version);
    if (start < 0) return undefined;
    const keys = new Set<string>();
    for (const entry of this.entries.slice(start))
      for (const key of entry.keys) keys.add(key);
    return keys;
  }
}
