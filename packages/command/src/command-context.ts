/** What commands read from and write to, and how they end. */

/** Exit statuses of every command. */
export const exitStatus = {
  success: 0,
  /** The answer is no: faults were found, or there is no route. */
  negative: 1,
  /** The command could not be carried out: usage, file, or host. */
  failed: 2,
} as const;

export type ExitStatus = (typeof exitStatus)[keyof typeof exitStatus];

/** The streams of one run of the tool. */
export interface CommandContext {
  readonly input: NodeJS.ReadableStream & {readonly isTTY?: boolean};
  /** Writes one line to standard output. */
  print(line: string): void;
  /** Writes one line to standard error. */
  complain(line: string): void;
  /** Shows a prompt without the end of a line. */
  prompt(text: string): void;
  /** Sets the exit status. */
  end(status: ExitStatus): void;
}

/** Options that every command takes. */
export interface OutputOptions {
  readonly json: boolean;
}

/** Options of commands that ask a host. */
export interface HostOptions extends OutputOptions {
  readonly address: string;
}
