/** Why a daemon could not start. */

import type {SettingsFault} from '@persimmonwick/coordination';

/** Settings that are well-formed but can't be used on this machine. */
export class StartError extends Error {
  constructor(readonly faults: readonly SettingsFault[]) {
    super(faults.map(({path, value}) => `${path}: ${value}`).join('; '));
  }

  /** The error of an address that can't be listened on. */
  static ofAddress(path: string, address: string, cause: unknown): StartError {
    const {code, message} = cause as NodeJS.ErrnoException;
    return new StartError([
      {
        path,
        value: `${address} (${code ?? message})`,
        expected: 'an address of this host that no other process listens on',
      },
    ]);
  }
}
