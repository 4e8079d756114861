/** Merges a changed settings file into the settings of a running host. */

import type {PassthroughSettings} from './passthrough-settings.js';

/** Settings after a change, and the paths of the settings that differ. */
export interface SettingsChange {
  /** Settings that apply from now on. */
  readonly settings: PassthroughSettings;
  /** Paths of the settings that changed. */
  readonly applied: readonly string[];
  /** Paths of the settings that change only after a restart. */
  readonly needRestart: readonly string[];
}

/** Objects whose fields are compared separately. */
const objectsComparedByField: ReadonlySet<string> = new Set([
  '/listen',
  '/retries',
]);

/** Applies the settings of a changed file that can change at runtime. */
export function mergeSettings(
  current: PassthroughSettings,
  requested: PassthroughSettings,
): SettingsChange {
  const {seeds, regions, keyProofMilliseconds, limitSlack, graceMilliseconds} =
    requested;
  const {coldTolerance} = requested;
  const {ratio, extra} = requested.retries;
  const settings = {
    ...current,
    seeds,
    regions,
    keyProofMilliseconds,
    limitSlack,
    coldTolerance,
    graceMilliseconds,
    retries: {...current.retries, ratio, extra},
  };
  return {
    settings,
    applied: changedPaths(current, settings, ''),
    needRestart: changedPaths(settings, requested, ''),
  };
}

function changedPaths(before: object, after: object, path: string): string[] {
  const beforeFields = before as Record<string, unknown>;
  const afterFields = after as Record<string, unknown>;
  const names = new Set([
    ...Object.keys(beforeFields),
    ...Object.keys(afterFields),
  ]);
  return [...names].flatMap(name => {
    const fieldPath = `${path}/${name}`;
    const [beforeValue, afterValue] = [beforeFields[name], afterFields[name]];
    if (JSON.stringify(beforeValue) === JSON.stringify(afterValue)) return [];
    return objectsComparedByField.has(fieldPath)
      ? changedPaths(beforeValue as object, afterValue as object, fieldPath)
      : [fieldPath];
  });
}
