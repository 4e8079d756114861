/** Estimates when a caller has received what was sent to it. */

/** Rate at which the slowest callers read. */
const slowestBytesPerMillisecond = 100;

export class ReceiptEstimate {
  private bytesWritten = 0;
  private receivedAt = -Infinity;

  /**
   * Returns the clock time by which a slow caller has received the `bytesWritten`
   * bytes that were written to its connection until `now`.
   */
  update(bytesWritten: number, now: number): number {
    const bytes = bytesWritten - this.bytesWritten;
    this.bytesWritten = bytesWritten;
    this.receivedAt =
      Math.max(now, this.receivedAt) + bytes / slowestBytesPerMillisecond;
    return this.receivedAt;
  }

  /** Returns how many of these bytes a slow caller has not received at `now`. */
  outstandingBytes(now: number): number {
    return Math.max(0, this.receivedAt - now) * slowestBytesPerMillisecond;
  }
}
