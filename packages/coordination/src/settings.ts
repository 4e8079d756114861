/** Validation of the settings of a daemon. */

import {Result} from 'true-myth';
import {validateSettings} from './generated/settings-validators.js';
import type {
  MutualTlsPeers,
  PlainPeers,
  Settings,
} from './generated/settings.js';

/** A validation error in a settings file. */
export interface SettingsFault {
  /** JSON Pointer to the setting. */
  readonly path: string;
  /** The value as JSON, truncated to 80 characters. */
  readonly value: string;
  readonly expected: string;
}

/** Validated settings in which every default is filled in. */
export interface CompleteSettings extends Settings {
  readonly platform: Required<Settings['platform']>;
  readonly seeds: string[];
  readonly peerSecurity: PlainPeers | MutualTlsPeers;
  readonly limits: Required<NonNullable<Settings['limits']>>;
  readonly upstreamSilenceMilliseconds: number;
}

/**
 * Validates `value` and fills in the defaults. Unencrypted peer traffic is only
 * accepted on an IPv4 loopback address (127.0.0.0/8).
 */
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
        value: formatValue(valueAt(candidate, error.instancePath)),
        expected: `${error.message ?? error.keyword} ${JSON.stringify(error.params)}`,
      })),
    );
  const settings = candidate as unknown as CompleteSettings;
  const security = findPeerSecurityFault(settings);
  return security === undefined ? Result.ok(settings) : Result.err([security]);
}

function findPeerSecurityFault(
  settings: CompleteSettings,
): SettingsFault | undefined {
  if (settings.peerSecurity === undefined)
    return {
      path: '/peerSecurity',
      value: 'absent',
      expected:
        'mutual-tls, or plain on an IPv4 loopback address (127.0.0.0/8)',
    };
  if (settings.peerSecurity.kind === 'mutual-tls') return undefined;
  if (settings.listen.peers.startsWith('127.')) return undefined;
  return {
    path: '/peerSecurity/kind',
    value: 'plain',
    expected:
      'mutual-tls, unless /listen/peers is an IPv4 loopback address (127.0.0.0/8)',
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

function formatValue(value: unknown): string {
  return JSON.stringify(value)?.slice(0, 80) ?? 'absent';
}
