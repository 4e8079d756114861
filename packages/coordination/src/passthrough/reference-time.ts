/**
 * Tracks the typical duration of one kind of work, to identify slow upstreams.
 * The baseline falls quickly and rises slowly, because most upstreams are
 * healthy.
 */

const fallingGain = 0.2;
const risingGain = 0.02;

export class BaselineDuration {
  private baseline: number | undefined;

  /** Records an observed duration. Returns its ratio to the baseline. */
  record(duration: number): number {
    if (!(duration > 0)) return 1;
    if (this.baseline === undefined) {
      this.baseline = duration;
      return 1;
    }
    const ratio = duration / this.baseline;
    const gain = duration < this.baseline ? fallingGain : risingGain;
    this.baseline += (duration - this.baseline) * gain;
    return ratio;
  }
}
