/** Reads the settings file and applies overrides from the environment. */

import {readFileSync} from 'node:fs';
import {parseSettings} from '@persimmonwick/coordination';
import type {
  CompleteSettings,
  SettingsFault,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import {parseDocument as parseYaml} from 'yaml';

const overridePrefix = 'PERSIMMONWICK_';

/**
 * Reads and validates the settings in `file`. An environment variable such as
 * `PERSIMMONWICK_listen__callers` sets `/listen/callers` to its value, parsed as
 * YAML, and creates missing parents.
 */
export function loadSettings(
  file: string,
  environment: NodeJS.ProcessEnv,
): Result<CompleteSettings, SettingsFault[]> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? 'unreadable';
    return Result.err([
      {path: '/', value: `${file}: ${reason}`, expected: 'a readable file'},
    ]);
  }
  const document = parseYaml(text);
  if (document.errors.length > 0)
    return Result.err(
      document.errors.map(error => ({
        path: '/',
        value: error.message.split('\n')[0]!,
        expected: 'YAML without errors',
      })),
    );
  const settings: unknown = document.toJS();
  const faults = isRecord(settings)
    ? applyOverrides(settings, environment)
    : [];
  return faults.length > 0 ? Result.err(faults) : parseSettings(settings);
}

function applyOverrides(
  settings: Record<string, unknown>,
  environment: NodeJS.ProcessEnv,
): SettingsFault[] {
  const faults: SettingsFault[] = [];
  for (const [name, value] of Object.entries(environment)) {
    if (!name.startsWith(overridePrefix) || value === undefined) continue;
    const path = name.slice(overridePrefix.length).split('__');
    const lastKey = path.pop()!;
    let parent = settings;
    for (const key of path) {
      if (!isRecord(parent[key])) parent[key] = {};
      parent = parent[key] as Record<string, unknown>;
    }
    const document = parseYaml(value);
    if (document.errors.length > 0)
      faults.push({
        path: `/${[...path, lastKey].join('/')}`,
        value: `${name} in the environment`,
        expected: 'YAML without errors',
      });
    else parent[lastKey] = document.toJS();
  }
  return faults;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === 'object' && !Array.isArray(value);
}
