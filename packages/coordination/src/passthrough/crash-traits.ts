/**
 * Traits of requests that may crash upstreams: the parts of a prompt, and the
 * fingerprint that a request shares with its repetitions.
 */

import {createHash} from 'node:crypto';
import type {PromptPart, RoutedCall} from './call.js';

/** Longest id of a prompt part that is a trait itself. */
export const maximumTraitLength = 128;

/**
 * Parts of one prompt that are considered. The limit of headers allows no
 * more.
 */
const maximumPartsPerPrompt = 4096;

/** The part traits of a prompt. The last part cannot crash an engine. */
export function partTraitsOf(promptParts: readonly PromptPart[]): string[] {
  return promptParts
    .slice(0, -1)
    .slice(0, maximumPartsPerPrompt)
    .map(({id}) => (id.length <= maximumTraitLength ? id : hashOf(id)));
}

/** All traits of a request. */
export function crashTraitsOf({
  generation,
  fingerprint,
}: Pick<RoutedCall, 'generation' | 'fingerprint'>): string[] {
  return [...partTraitsOf(generation?.promptParts ?? []), fingerprint];
}

function hashOf(id: string): string {
  return createHash('sha256').update(id).digest('hex');
}
