/**
 * Learns what a kind of work usually takes, so that one slow upstream stands
 * out. Falls fast and rises slowly: most upstreams are sound.
 */

const fallingGain = 0.2;
const risingGain = 0.02;

export class ReferenceTime {
  private usual: number | undefined;

  /** Notes an observed time; returns it as a multiple of the usual one. */
  observe(time: number): number {
    if (!(time > 0)) return 1;
    if (this.usual === undefined) {
      this.usual = time;
      return 1;
    }
    const ratio = time / this.usual;
    const gain = time < this.usual ? fallingGain : risingGain;
    this.usual += (time - this.usual) * gain;
    return ratio;
  }
}
