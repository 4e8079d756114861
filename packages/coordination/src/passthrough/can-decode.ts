/** Roles of engines. */

/**
 * Returns whether an upstream can decode. Without a stage label it also
 * computes the KV cache of the prompt.
 */
export function canDecode(labels: Readonly<Record<string, string>>): boolean {
  return labels['stage'] !== 'prefill';
}
