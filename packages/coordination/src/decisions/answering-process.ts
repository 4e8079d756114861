/**
 * Decides whether the process that answered is the one that the list named when
 * the request was sent. Load pattern: in a rolling upgrade, servers start again
 * under their ids with another software version, and hosts read the list only now
 * and then.
 */

import type {UpstreamDocument} from '../generated/documents.js';

export type ProcessFinding =
  /** The version in the list is that of the process that answered. */
  | 'same'
  /** Another process answered, or may have answered. */
  | 'other'
  /** Nothing tells yet which process answered. */
  | 'unknown';

/**
 * Compares the process that the list named with the start that the process stated
 * itself. Upstreams that publish no start are taken for what the list says.
 */
export function compareStatedStart(
  {spec}: UpstreamDocument,
  statedStart: number | undefined,
): ProcessFinding {
  if (spec.startedAt === undefined) return 'same';
  if (statedStart === undefined) return 'unknown';
  return spec.startedAt === statedStart ? 'same' : 'other';
}

/** What a list says about the process of an upstream. */
export type ListedProcess = Pick<
  UpstreamDocument['spec'],
  'startedAt' | 'softwareVersion'
>;

/**
 * Compares the process that the list named with the entry in a list whose read
 * began after the answer. A later process of the same version proves nothing: there
 * may have been one of another version between the two.
 */
export function compareLaterEntry(
  {startedAt, softwareVersion = ''}: ListedProcess,
  later: UpstreamDocument | undefined,
): ProcessFinding {
  if (later === undefined) return 'unknown';
  const {spec} = later;
  return spec.startedAt === startedAt &&
    (spec.softwareVersion ?? '') === softwareVersion
    ? 'same'
    : 'other';
}
