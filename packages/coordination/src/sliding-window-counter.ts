/** Sums amounts over a sliding window, in slices, with bounded memory. */

/** Slices of a window, and one more for the slice that has just begun. */
const sliceCount = 20;
const keptSliceCount = sliceCount + 1;

export class SlidingWindowCounter {
  private readonly amounts = new Array<number>(keptSliceCount).fill(0);
  private readonly sliceMilliseconds: number;
  private newestSlice = 0;
  private sum = 0;

  constructor(windowMilliseconds: number) {
    this.sliceMilliseconds = windowMilliseconds / sliceCount;
  }

  add(now: number, amount = 1): void {
    this.advance(now);
    this.amounts[this.newestSlice % keptSliceCount]! += amount;
    this.sum += amount;
  }

  /**
   * Sum over the window, and over up to one slice before it: a limit on this sum
   * also holds for the window itself.
   */
  total(now: number): number {
    this.advance(now);
    return this.sum;
  }

  private advance(now: number): void {
    const slice = Math.floor(now / this.sliceMilliseconds);
    const steps = Math.min(keptSliceCount, slice - this.newestSlice);
    for (let step = 0; step < steps; step += 1) {
      const index = (slice - step) % keptSliceCount;
      this.sum -= this.amounts[index]!;
      this.amounts[index] = 0;
    }
    if (slice > this.newestSlice) this.newestSlice = slice;
  }
}
