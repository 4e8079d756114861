/** What a changed settings file means for a host that runs. */

import type {PassthroughSettings} from './passthrough-settings.js';

/** Paths of settings that differ. */
export interface SettingsChange {
  /** In force from now on. */
  readonly applied: readonly string[];
  /** In force after the next start only. */
  readonly needRestart: readonly string[];
}

/** Settings that a running host takes over. */
const changeable: ReadonlySet<string> = new Set([
  '/seeds',
  '/keyProofMilliseconds',
  '/limitSlack',
  '/retries/ratio',
  '/retries/extra',
  '/graceMilliseconds',
]);

/** Tables whose entries change apart from each other. */
const divided: ReadonlySet<string> = new Set(['/listen', '/retries']);

/** Compares the settings of the start with those of a changed file. */
export function compareSettings(
  before: PassthroughSettings,
  after: PassthroughSettings,
): SettingsChange {
  const changed = differences(before, after, '');
  return {
    applied: changed.filter(path => changeable.has(path)),
    needRestart: changed.filter(path => !changeable.has(path)),
  };
}

/** The settings that are in force: what may change is taken from `after`. */
export function takeChangeable(
  before: PassthroughSettings,
  after: PassthroughSettings,
): PassthroughSettings {
  const {seeds, keyProofMilliseconds, limitSlack, graceMilliseconds} = after;
  const {ratio, extra} = after.retries;
  return {
    ...before,
    seeds,
    keyProofMilliseconds,
    limitSlack,
    graceMilliseconds,
    retries: {...before.retries, ratio, extra},
  };
}

function differences(before: object, after: object, path: string): string[] {
  const left = before as Record<string, unknown>;
  const right = after as Record<string, unknown>;
  const names = new Set([...Object.keys(left), ...Object.keys(right)]);
  return [...names].flatMap(name => {
    const place = `${path}/${name}`;
    const [was, is] = [left[name], right[name]];
    if (JSON.stringify(was) === JSON.stringify(is)) return [];
    return divided.has(place)
      ? differences(was as object, is as object, place)
      : [place];
  });
}
