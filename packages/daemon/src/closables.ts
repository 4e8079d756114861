/** Closes resources in the reverse of the order in which they were opened. */

/** A resource that must be closed. */
export interface Closable {
  close(): Promise<void>;
}

export class Closables {
  private readonly items: Closable[] = [];

  /** Adds and returns `closable`. */
  add<Item extends Closable>(closable: Item): Item {
    this.items.push(closable);
    return closable;
  }

  /** Closes all resources, the last one first, and ignores their errors. */
  async close(): Promise<void> {
    for (const closable of this.items.splice(0).reverse())
      await Promise.allSettled([closable.close()]);
  }
}
