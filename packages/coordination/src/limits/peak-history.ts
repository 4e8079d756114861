/**
 * Highest totals of a bucket since earlier marks, in bounded memory. Merging
 * entries to save memory rounds totals up.
 */

const maximumEntries = 16;

/**
 * Highest totals (level plus lent tokens) that a bucket has had since marks,
 * kept as suffix maxima. Bounds the tokens that can be refunded without
 * exceeding the capacity.
 */
export class PeakHistory {
  private sequence = 0;
  private readonly sequences: number[] = [];
  private readonly peaks: number[] = [];

  /** Marks the present; totals recorded later count as since the mark. */
  mark(): number {
    return this.sequence;
  }

  record(total: number): void {
    const {sequences, peaks} = this;
    this.sequence += 1;
    while (peaks.length > 0 && peaks[peaks.length - 1]! <= total) {
      peaks.pop();
      sequences.pop();
    }
    peaks.push(total);
    sequences.push(this.sequence);
    if (peaks.length > maximumEntries) this.mergeClosest();
  }

  /** Highest total recorded since `mark`. */
  peakSince(mark: number): number {
    return this.peaks[this.firstAfter(mark)] ?? 0;
  }

  /** Adds `tokens` to all totals recorded since `mark`. */
  raiseSince(mark: number, tokens: number): void {
    const {sequences, peaks} = this;
    let first = this.firstAfter(mark);
    for (let index = first; index < peaks.length; index += 1)
      peaks[index]! += tokens;
    while (
      first > 0 &&
      first < peaks.length &&
      peaks[first - 1]! <= peaks[first]!
    ) {
      first -= 1;
      peaks.splice(first, 1);
      sequences.splice(first, 1);
    }
  }

  /** Makes the peak since every earlier mark unbounded. */
  invalidate(): void {
    this.record(Infinity);
  }

  private firstAfter(mark: number): number {
    const {sequences} = this;
    let index = sequences.length;
    while (index > 0 && sequences[index - 1]! > mark) index -= 1;
    return index;
  }

  private mergeClosest(): void {
    const {sequences, peaks} = this;
    let closest = 0;
    let smallestGap = Infinity;
    for (let index = 0; index + 1 < peaks.length; index += 1) {
      const gap = peaks[index]! - peaks[index + 1]!;
      if (gap < smallestGap) {
        smallestGap = gap;
        closest = index;
      }
    }
    peaks.splice(closest + 1, 1);
    sequences.splice(closest, 1);
  }
}
