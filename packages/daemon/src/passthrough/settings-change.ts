/** What a changed settings file means for a host that runs. */

import type {PassthroughSettings} from './passthrough-settings.js';

/** Settings after a change, and the paths of what differs. */
export interface SettingsChange {
  /** In force from now on. */
  readonly settings: PassthroughSettings;
  /** What changed in them. */
  readonly applied: readonly string[];
  /** What the file says differently, in force after the next start only. */
  readonly needRestart: readonly string[];
}

/** Tables whose entries change apart from each other. */
const divided: ReadonlySet<string> = new Set(['/listen', '/retries']);

/** Takes over what a running host can from the settings of a changed file. */
export function changeSettings(
  before: PassthroughSettings,
  file: PassthroughSettings,
): SettingsChange {
  const {seeds, keyProofMilliseconds, limitSlack, graceMilliseconds} = file;
  const {ratio, extra} = file.retries;
  const settings = {
    ...before,
    seeds,
    keyProofMilliseconds,
    limitSlack,
    graceMilliseconds,
    retries: {...before.retries, ratio, extra},
  };
  return {
    settings,
    applied: differences(before, settings, ''),
    needRestart: differences(settings, file, ''),
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
