/** A map that drops the entry that was set the longest time ago when it is full. */
export class BoundedMap<Key, Value> {
  private readonly values = new Map<Key, Value>();

  constructor(
    private readonly maximumSize: number,
    private readonly onDropped: (key: Key, value: Value) => void = () =>
      undefined,
  ) {}

  get size(): number {
    return this.values.size;
  }

  get(key: Key): Value | undefined {
    return this.values.get(key);
  }

  has(key: Key): boolean {
    return this.values.has(key);
  }

  /** Sets a value. Its entry becomes the newest. */
  set(key: Key, value: Value): void {
    this.values.delete(key);
    this.values.set(key, value);
    if (this.values.size <= this.maximumSize) return;
    const [oldest] = this.values;
    if (oldest === undefined) return;
    this.values.delete(oldest[0]);
    this.onDropped(...oldest);
  }

  delete(key: Key): void {
    this.values.delete(key);
  }

  /** The entries, oldest first. Entries may be deleted while they are read. */
  entries(): IterableIterator<[Key, Value]> {
    return this.values.entries();
  }
}
