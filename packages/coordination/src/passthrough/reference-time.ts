/**
 * Learns the normal duration of a kind of work, to identify slow upstreams. The
 * baseline falls quickly and rises slowly, because most upstreams are healthy.
 */

const fallingGain = 0.2;
const risingGain = 0.02;

export class ReferenceTime {
  private baseline: number | undefined;

  /** Records an observed time. Returns its ratio to the baseline. */
  record(time: number): number {
    if (!(time > 0)) return 1;
    if (this.baseline === undefined) {
      this.baseline = time;
      return 1;
    }
    const ratio = time / this.baseline;
    const gain = time < this.baseline ? fallingGain : risingGain;
    this.baseline += (time - this.baseline) * gain;
    return ratio;
  }
}
