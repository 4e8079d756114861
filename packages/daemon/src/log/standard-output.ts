/** Opens standard output for log lines. */

import {fstatSync, writeSync} from 'node:fs';
import process from 'node:process';
import {isatty} from 'node:tty';
import type {LineSink} from './bounded-output.js';

const standardOutput = 1;

/**
 * Node's stream for a file writes nothing more once its disk has been full, so a file
 * is written to without it.
 */
export function openStandardOutput(): LineSink {
  const status = fstatSync(standardOutput);
  const isStream =
    status.isFIFO() || status.isSocket() || isatty(standardOutput);
  return isStream ? process.stdout : new FileSink();
}

/** Writes synchronously, as Node does for files. */
class FileSink implements LineSink {
  readonly writableLength = 0;

  write(text: string): void {
    writeSync(standardOutput, text);
  }

  /** Errors are thrown. */
  on(): void {}
}
