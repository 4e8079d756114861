/** What must be closed, in the reverse of the order in which it was started. */

/** Something with an end. */
export interface Closable {
  close(): Promise<void>;
}

export class Closables {
  private readonly started: Closable[] = [];

  /** Adds `closable` and gives it back. */
  add<Item extends Closable>(closable: Item): Item {
    this.started.push(closable);
    return closable;
  }

  /** Closes all, the last first, each even when another one fails. */
  async close(): Promise<void> {
    for (const closable of this.started.splice(0).reverse())
      await Promise.allSettled([closable.close()]);
  }
}
