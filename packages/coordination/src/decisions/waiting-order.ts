/**
 * Order of the calls that wait for memory of an engine. Load pattern: a shortage
 * in which calls of several urgencies, sizes and ages wait for the same engines.
 */

/** A call that waits for memory. */
export interface WaitingCall {
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Whether the call continues a stream of which its caller has events. */
  readonly hasBegun: boolean;
  /**
   * Time until the call has to start to meet its target, in milliseconds; negative
   * if it is late, and infinite without a target.
   */
  readonly timeLeftMilliseconds: number;
}

/** Compares two waiting calls; negative if `left` is to be placed first. */
export function compareWaitingCalls(
  left: WaitingCall,
  right: WaitingCall,
): number {
  return (
    Number(isLate(left)) - Number(isLate(right)) ||
    left.urgency - right.urgency ||
    Number(right.hasBegun) - Number(left.hasBegun) ||
    compareNumbers(left.timeLeftMilliseconds, right.timeLeftMilliseconds)
  );
}

function isLate({timeLeftMilliseconds}: WaitingCall): boolean {
  return timeLeftMilliseconds < 0;
}

/** The difference of two infinite times is not a number. */
function compareNumbers(left: number, right: number): number {
  return left === right ? 0 : left - right;
}

/** A call that found no engine, and what calls behind it may not take. */
export interface BlockedCall<Engine> {
  readonly call: WaitingCall;
  readonly canUse: (engine: Engine) => boolean;
  /**
   * The engine that misses the least memory for the call. It is kept free, so
   * that smaller calls do not starve a large one.
   */
  readonly keptEngine: Engine | undefined;
}

/**
 * Returns whether `engine` has to be left to a call ahead of `call`. A less urgent
 * or a late call takes no engine that a blocked call can use.
 */
export function isWithheld<Engine>(
  engine: Engine,
  call: WaitingCall,
  blocked: readonly BlockedCall<Engine>[],
): boolean {
  return blocked.some(
    each =>
      engine === each.keptEngine ||
      (each.canUse(engine) &&
        (call.urgency > each.call.urgency ||
          (isLate(call) && !isLate(each.call)))),
  );
}
