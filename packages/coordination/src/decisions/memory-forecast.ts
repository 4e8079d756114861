/**
 * Forecast of the highest memory use of an engine. Load pattern: bursts that fill
 * engines with calls of the same age, which grow together, so that the memory
 * runs out when none of them is near its end.
 */

/** Running calls of an engine that are expected to end together. */
export interface RunningCalls {
  readonly calls: number;
  /** Memory of all these calls now. */
  readonly memoryTokens: number;
  /** Tokens that each of these calls is expected to generate yet. */
  readonly remainingTokens: number;
}

/** What is known of the output of one call. */
export interface OutputEstimate {
  readonly maximumOutputTokens: number;
  /** The client's estimate, right at the median. */
  readonly expectedOutputTokens: number | undefined;
}

/**
 * Expected remainder of a call that has outlived its estimate, as a fraction of
 * its output so far. The longer such a call has run, the longer it is likely to
 * run on.
 */
const overrunFraction = 0.25;

/**
 * Expected remainder of the output after `generatedTokens`. A call without an
 * estimate is expected to use its maximum.
 */
export function expectedRemainingTokens(
  {maximumOutputTokens, expectedOutputTokens}: OutputEstimate,
  generatedTokens: number,
): number {
  const expected = expectedOutputTokens ?? maximumOutputTokens;
  const remaining = Math.max(
    expected - generatedTokens,
    overrunFraction * generatedTokens,
  );
  return Math.max(
    0,
    Math.min(remaining, maximumOutputTokens - generatedTokens),
  );
}

/**
 * Highest sum of the memory of `running` from now on. All calls generate tokens
 * at the same pace. The sum grows until a call ends, so it is highest just before
 * one of the ends.
 */
export function peakMemoryTokens(running: readonly RunningCalls[]): number {
  const byEnd = [...running].sort(
    (left, right) => right.remainingTokens - left.remainingTokens,
  );
  let peak = 0;
  let calls = 0;
  let memoryTokens = 0;
  for (const each of byEnd) {
    calls += each.calls;
    memoryTokens += each.memoryTokens;
    peak = Math.max(peak, memoryTokens + calls * each.remainingTokens);
  }
  return peak;
}

/**
 * Merges calls with similar remainders into at most `maximumGroups` groups. The
 * peak of the result is never below the peak of `running`.
 */
export function mergeRunningCalls(
  running: readonly RunningCalls[],
  maximumGroups: number,
): readonly RunningCalls[] {
  if (running.length <= maximumGroups) return running;
  const byEnd = [...running].sort(
    (left, right) => left.remainingTokens - right.remainingTokens,
  );
  const size = Math.ceil(byEnd.length / maximumGroups);
  return Array.from({length: Math.ceil(byEnd.length / size)}, (_, index) => {
    const group = byEnd.slice(index * size, (index + 1) * size);
    return {
      calls: sum(group.map(({calls}) => calls)),
      memoryTokens: sum(group.map(each => each.memoryTokens)),
      remainingTokens: group.at(-1)!.remainingTokens,
    };
  });
}

/** State of an engine that a call may be placed at. */
export interface EngineMemory {
  readonly capacityTokens: number;
  readonly slots: number;
  readonly running: readonly RunningCalls[];
}

/** Whether a call may start at an engine. */
export type MemoryFit =
  | {
      readonly kind: 'fits';
      /**
       * Memory that the call and the growth of the running calls need at the
       * peak beyond what is used now.
       */
      readonly addedTokens: number;
    }
  | {readonly kind: 'full'; readonly reason: 'memory' | 'slots'};

/**
 * Deviations of the sum of the remainders that forecasts leave free. Estimates are
 * right at the median only, so half of the forecasts without a margin are too low.
 */
const marginDeviations = 1.6;

/**
 * Margin for outputs that are longer than estimated. The errors of calls are
 * independent, so they add up as squares, and calls that started together need
 * more than calls of different ages.
 */
function marginTokens(running: readonly RunningCalls[]): number {
  const squares = running.map(
    ({calls, remainingTokens}) => calls * remainingTokens ** 2,
  );
  return marginDeviations * Math.sqrt(sum(squares));
}

/**
 * Decides whether `call` fits beside the running calls. A call that exceeds the
 * memory by its estimate alone may have an engine to itself.
 */
export function fitInMemory(
  {capacityTokens, slots, running}: EngineMemory,
  call: RunningCalls,
): MemoryFit {
  const runningCalls = sum(running.map(({calls}) => calls));
  if (runningCalls + call.calls > slots) return {kind: 'full', reason: 'slots'};
  const together = [...running, call];
  const peak = peakMemoryTokens(together) + marginTokens(together);
  if (runningCalls > 0 && peak > capacityTokens)
    return {kind: 'full', reason: 'memory'};
  const usedTokens = sum(running.map(each => each.memoryTokens));
  return {kind: 'fits', addedTokens: peak - usedTokens};
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
