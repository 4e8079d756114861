/** Running calls of engines as heartbeats report them. */

import {mergeRunningCalls} from '../decisions/memory-forecast.js';
import type {RunningCalls} from '../decisions/memory-forecast.js';
import type {UpstreamLoad} from '../generated/messages/persimmonwick/beat.js';

const memoryUnitTokens = 16;
const remainingUnitTokens = 8;
const valuesPerGroup = 3;

/**
 * Groups of calls in one heartbeat. A group takes about 5 bytes, which keeps the
 * groups within 300 bytes. With more engines, only one group for each is sent.
 */
const maximumGroups = 56;

/** Growth of a call of a host that does not report the expected remainder. */
const unknownRemainingTokens = 132;

/** Encodes the calls of several engines in the same order. */
export function encodeRunningCalls(
  engines: readonly (readonly RunningCalls[])[],
): number[][] {
  const longest = Math.max(1, ...engines.map(({length}) => length));
  let limit = Math.min(longest, maximumGroups);
  const groupsWithin = (groupLimit: number) =>
    engines.reduce((sum, {length}) => sum + Math.min(length, groupLimit), 0);
  while (limit > 1 && groupsWithin(limit) > maximumGroups) limit -= 1;
  return engines.map(running =>
    mergeRunningCalls(running, limit).flatMap(each => [
      each.calls,
      Math.ceil(each.memoryTokens / memoryUnitTokens),
      Math.ceil(each.remainingTokens / remainingUnitTokens),
    ]),
  );
}

/**
 * Decodes the calls of one engine. A host of an earlier version reports only
 * their number and the sum of their memory.
 */
export function decodeRunningCalls({
  runningCalls = [],
  ...load
}: Pick<UpstreamLoad, 'calls' | 'memoryTokens'> &
  Partial<Pick<UpstreamLoad, 'runningCalls'>>): readonly RunningCalls[] {
  const groups: RunningCalls[] = [];
  for (
    let at = 0;
    at + valuesPerGroup <= runningCalls.length;
    at += valuesPerGroup
  )
    groups.push({
      calls: runningCalls[at]!,
      memoryTokens: runningCalls[at + 1]! * memoryUnitTokens,
      remainingTokens: runningCalls[at + 2]! * remainingUnitTokens,
    });
  return withUnknownCalls(groups, load);
}

/** Adds the calls of `load` of which only the number and the memory are known. */
export function withUnknownCalls(
  known: readonly RunningCalls[],
  load: {readonly calls: number; readonly memoryTokens: number},
): readonly RunningCalls[] {
  const calls = known.reduce((rest, each) => rest - each.calls, load.calls);
  const memoryTokens = known.reduce(
    (rest, each) => rest - each.memoryTokens,
    load.memoryTokens,
  );
  return calls <= 0
    ? known
    : [
        ...known,
        {
          calls,
          memoryTokens: Math.max(0, memoryTokens),
          remainingTokens: unknownRemainingTokens,
        },
      ];
}
