/** Ids of the parts of a prompt, which are hashes that callers send. */

import type {PromptPart} from './call.js';

/** Longest id of a part that is considered. */
export const maximumPartIdLength = 128;

/** Parts of one prompt that are considered. */
const maximumPartsPerPrompt = 64;

/** Ids of the parts of a prompt that are considered. */
export function partIdsOf(promptParts: readonly PromptPart[]): string[] {
  return promptParts
    .slice(0, maximumPartsPerPrompt)
    .map(({id}) => id)
    .filter(id => id.length <= maximumPartIdLength);
}

/** Ids of the parts that can crash an engine: all but the last. */
export function suspectableIdsOf(promptParts: readonly PromptPart[]): string[] {
  return partIdsOf(promptParts.slice(0, -1));
}
