/** Input, output and exit status of commands. */

/** Exit statuses of every command. */
export const exitStatus = {
  success: 0,
  /** The command ran, but found faults, no route, no log line or a difference. */
  unsuccessful: 1,
  /** Wrong usage, an unreadable file, an invalid trace, or no usable response. */
  failed: 2,
} as const;

export type ExitStatus = (typeof exitStatus)[keyof typeof exitStatus];

/** Input, output and exit status of one invocation. */
export interface CommandContext {
  readonly input: NodeJS.ReadableStream & {readonly isTTY?: boolean};
  /** Writes one line to standard output. */
  print(line: string): void;
  /** Writes one line to standard error. */
  printError(line: string): void;
  /** Writes a prompt to standard error, without a line terminator. */
  prompt(text: string): void;
  /** Sets the exit status. */
  setExitStatus(status: ExitStatus): void;
}

/** Options of every command. */
export interface OutputOptions {
  readonly json: boolean;
}

/** Options of commands that contact a host. */
export interface HostOptions extends OutputOptions {
  readonly address: string;
}
