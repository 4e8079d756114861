/** Reports why a daemon could not start. */

import type {SettingsFault} from '@persimmonwick/coordination';

/** Thrown for valid settings that can't be used on this machine. */
export class StartError extends Error {
  constructor(readonly faults: readonly SettingsFault[]) {
    super(faults.map(({path, value}) => `${path}: ${value}`).join('; '));
  }

  /** Reports that the daemon can't listen on `address`. */
  static forAddress(
    settingPath: string,
    address: string,
    cause: unknown,
  ): StartError {
    const {code, message} = cause as NodeJS.ErrnoException;
    return new StartError([
      {
        path: settingPath,
        value: `${address} (${code ?? message})`,
        expected: 'an address of this host that no other process listens on',
      },
    ]);
  }
}
