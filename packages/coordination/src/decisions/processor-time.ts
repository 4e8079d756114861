/**
 * Decides whether a process is short of processor time.
 *
 * Load pattern: more callers than the processor can serve for some seconds, hosts that
 * start together while callers wait for them, or a process that stands still. Turns of
 * the event loop may all be short meanwhile; what shows the shortage is how late calls
 * are begun.
 */

/** Time between the arrival of a call and its begin from which it is late. */
const lateMilliseconds = 100;

/** Time without a late or refused call after which a shortage is over. */
const recoveryMilliseconds = 1000;

/** The begin or the end of a shortage. */
export type ProcessorTimeChange =
  | {readonly kind: 'short'; readonly waitMilliseconds: number}
  | {
      readonly kind: 'enough';
      /** Time since the shortage began. */
      readonly milliseconds: number;
      readonly lateCalls: number;
      /** Calls that were refused for want of processor time. */
      readonly refusedCalls: number;
      /** Longest time between the arrival of a call and its begin. */
      readonly waitMilliseconds: number;
    };

interface Shortage {
  readonly since: number;
  lastLateAt: number;
  lateCalls: number;
  refusedCalls: number;
  waitMilliseconds: number;
}

export class ProcessorTime {
  private shortage: Shortage | undefined;

  constructor(
    private readonly onChange: (change: ProcessorTimeChange) => void = () =>
      undefined,
  ) {}

  get isShort(): boolean {
    return this.shortage !== undefined;
  }

  /**
   * Records a call that begins `waitMilliseconds` after it can have arrived. Returns
   * whether it is late.
   */
  recordBegin(waitMilliseconds: number, now: number): boolean {
    if (waitMilliseconds < lateMilliseconds) return false;
    this.extendShortage(waitMilliseconds, now).lateCalls += 1;
    return true;
  }

  /** Records a call that is refused `waitMilliseconds` after it can have arrived. */
  recordRefusal(waitMilliseconds: number, now: number): void {
    this.extendShortage(waitMilliseconds, now).refusedCalls += 1;
  }

  private extendShortage(waitMilliseconds: number, now: number): Shortage {
    if (this.shortage === undefined)
      this.onChange({kind: 'short', waitMilliseconds});
    this.shortage ??= {
      since: now,
      lastLateAt: now,
      lateCalls: 0,
      refusedCalls: 0,
      waitMilliseconds: 0,
    };
    const {shortage} = this;
    shortage.lastLateAt = now;
    shortage.waitMilliseconds = Math.max(
      shortage.waitMilliseconds,
      waitMilliseconds,
    );
    return shortage;
  }

  /** Has to be called at intervals, so that the end of a shortage is noticed. */
  check(now: number): void {
    const {shortage} = this;
    if (shortage === undefined) return;
    if (now - shortage.lastLateAt < recoveryMilliseconds) return;
    const {since, lastLateAt: _, ...counts} = shortage;
    this.shortage = undefined;
    this.onChange({kind: 'enough', milliseconds: now - since, ...counts});
  }
}
