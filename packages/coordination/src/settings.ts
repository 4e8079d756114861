/** Checking of a daemon's settings. */

import {Result} from 'true-myth';
import {validateSettings} from './generated/settings-validators.js';
import type {
  MutualTlsPeers,
  PlainPeers,
  Settings,
} from './generated/settings.js';

/** A fault of a settings file. */
export interface SettingsFault {
  readonly path: string;
  readonly value: string;
  readonly expected: string;
}

/** Settings with every default filled in. */
export interface CompleteSettings extends Settings {
  readonly platform: Required<Settings['platform']>;
  readonly seeds: string[];
  readonly peerSecurity: PlainPeers | MutualTlsPeers;
  readonly limits: Required<NonNullable<Settings['limits']>>;
  readonly upstreamSilenceMilliseconds: number;
}

/** Checks `value` and fills in the defaults. */
export function parseSettings(
  value: unknown,
): Result<CompleteSettings, SettingsFault[]> {
  if (value === null || typeof value !== 'object')
    return Result.err([
      {path: '/', value: String(value), expected: 'an object with settings'},
    ]);
  const candidate = {limits: {}, ...structuredClone(value)};
  if (!validateSettings(candidate))
    return Result.err(
      (validateSettings.errors ?? []).map(error => ({
        path: error.instancePath || '/',
        value: describe(valueAt(candidate, error.instancePath)),
        expected: `${error.message ?? error.keyword} ${JSON.stringify(error.params)}`,
      })),
    );
  const settings = candidate as unknown as CompleteSettings;
  const security = findSecurityFault(settings);
  return security === undefined ? Result.ok(settings) : Result.err([security]);
}

function findSecurityFault(
  settings: CompleteSettings,
): SettingsFault | undefined {
  if (settings.peerSecurity === undefined)
    return {
      path: '/peerSecurity',
      value: 'absent',
      expected: 'mutual-tls, or plain on a loopback address',
    };
  if (settings.peerSecurity.kind === 'mutual-tls') return undefined;
  if (settings.listen.peers.startsWith('127.')) return undefined;
  return {
    path: '/peerSecurity/kind',
    value: 'plain',
    expected: 'mutual-tls, unless /listen/peers is a loopback address',
  };
}

function valueAt(root: unknown, pointer: string): unknown {
  return pointer
    .split('/')
    .slice(1)
    .reduce<unknown>(
      (value, key) => (value as Record<string, unknown>)?.[key],
      root,
    );
}

function describe(value: unknown): string {
  return JSON.stringify(value)?.slice(0, 80) ?? 'absent';
}
