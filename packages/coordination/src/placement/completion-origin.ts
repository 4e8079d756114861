/**
 * What wrote the first token of a completion. Two software versions write texts
 * that do not fit together, so only engines of that version may go on with it.
 */

import type {Configuration, Upstream} from '../configuration/configuration.js';

/** The decode engine of a first token, as published when it began to decode. */
export interface CompletionOrigin {
  readonly upstream: string;
  /** Empty if the engine publishes none. */
  readonly softwareVersion: string;
}

/** Describes the engine `found`, by its newest document if there is one. */
export function describeOrigin(
  {upstreams}: Configuration,
  found: Upstream,
): CompletionOrigin {
  const {name, spec} = upstreams.get(found.name) ?? found;
  return {upstream: name, softwareVersion: spec.softwareVersion ?? ''};
}

/**
 * Returns whether the version of `origin` is certain. If its upstream has another
 * one by now, the process that answered may already have been the new one. An
 * upstream that is no longer published has left.
 */
export function isVersionCertain(
  {upstreams}: Configuration,
  {upstream, softwareVersion}: CompletionOrigin,
): boolean {
  const current = upstreams.get(upstream);
  return (
    current === undefined ||
    (current.spec.softwareVersion ?? '') === softwareVersion
  );
}
