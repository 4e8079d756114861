/** Sums amounts over a sliding window, in slices, with bounded memory. */

const sliceCount = 20;

export class SlidingWindowCounter {
  private readonly amounts = new Array<number>(sliceCount).fill(0);
  private readonly sliceMilliseconds: number;
  private newestSlice = 0;
  private sum = 0;

  constructor(windowMilliseconds: number) {
    this.sliceMilliseconds = windowMilliseconds / sliceCount;
  }

  add(now: number, amount = 1): void {
    this.advance(now);
    this.amounts[this.newestSlice % sliceCount]! += amount;
    this.sum += amount;
  }

  /**
   * Sum of the current slice and the slices before it. Covers up to one slice
   * less than the window.
   */
  total(now: number): number {
    this.advance(now);
    return this.sum;
  }

  private advance(now: number): void {
    const slice = Math.floor(now / this.sliceMilliseconds);
    const steps = Math.min(sliceCount, slice - this.newestSlice);
    for (let step = 0; step < steps; step += 1) {
      const index = (slice - step) % sliceCount;
      this.sum -= this.amounts[index]!;
      this.amounts[index] = 0;
    }
    if (slice > this.newestSlice) this.newestSlice = slice;
  }
}
