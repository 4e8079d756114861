/** Counts amounts over the last window, in slices, with bounded memory. */

const slices = 20;

export class SlidingCount {
  private readonly amounts = new Array<number>(slices).fill(0);
  private readonly sliceMilliseconds: number;
  private newest = 0;
  private sum = 0;

  constructor(windowMilliseconds: number) {
    this.sliceMilliseconds = windowMilliseconds / slices;
  }

  add(now: number, amount = 1): void {
    this.advance(now);
    this.amounts[this.newest % slices]! += amount;
    this.sum += amount;
  }

  /** The sum of the last window, including all of its oldest slice. */
  total(now: number): number {
    this.advance(now);
    return this.sum;
  }

  private advance(now: number): void {
    const slice = Math.floor(now / this.sliceMilliseconds);
    const steps = Math.min(slices, slice - this.newest);
    for (let step = 0; step < steps; step += 1) {
      const index = (slice - step) % slices;
      this.sum -= this.amounts[index]!;
      this.amounts[index] = 0;
    }
    if (slice > this.newest) this.newest = slice;
  }
}
