/** Runs a daemon in a separate process, for the demo and fault tests. */

import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {stringify} from 'yaml';

/** Values for the settings file of a daemon. */
export interface DaemonOptions {
  readonly host: string;
  readonly failureDomain: string;
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
  readonly platform: string;
  readonly seeds: readonly string[];
  /** Silence after which a stream is suspect; the default if undefined. */
  readonly upstreamSilenceMilliseconds?: number | undefined;
  /** Options of Node before the program. */
  readonly nodeOptions?: readonly string[];
}

const daemonPath = fileURLToPath(
  new URL('../../../daemon/dist/src/main.js', import.meta.url),
);
const pollIntervalMilliseconds = 50;
const startTimeoutMilliseconds = 60_000;
const statusTimeoutMilliseconds = 1_000;

export class DaemonProcess {
  private child: ChildProcess | undefined;
  private readonly directory = mkdtempSync(join(tmpdir(), 'persimmonwick-'));
  private startCount = 0;
  /** Output of the daemon on stdout and stderr. */
  output = '';

  constructor(readonly plan: DaemonOptions) {}

  /** Identifies the process. A restarted host has a new name. */
  get name(): string {
    return `${this.plan.host}/${this.startCount}`;
  }

  /** Throws if the process was never started. */
  get processId(): number {
    return this.child!.pid!;
  }

  /** Starts the process. A stopped daemon can be started again. */
  start(): void {
    this.startCount += 1;
    const file = join(this.directory, 'settings.yaml');
    writeFileSync(file, stringify(settingsOf(this.plan)));
    const {nodeOptions = []} = this.plan;
    const child = spawn(
      process.execPath,
      [...nodeOptions, daemonPath, '--settings', file],
      {stdio: ['ignore', 'pipe', 'pipe']},
    );
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', chunk => {
        this.output += String(chunk);
      });
    this.child = child;
  }

  /** Resolves when the daemon is ready for requests. */
  async waitUntilReady(): Promise<void> {
    const deadline = performance.now() + startTimeoutMilliseconds;
    while (this.isRunning && performance.now() < deadline) {
      try {
        const response = await request(`http://${this.plan.operators}/readyz`);
        await response.body.dump();
        if (response.statusCode === 200) return;
      } catch {
        // The daemon does not listen yet.
      }
      await new Promise(done => setTimeout(done, pollIntervalMilliseconds));
    }
    throw new DaemonStartError(this.plan.host, this.output);
  }

  /** Whether the process is started and has not exited. */
  get isRunning(): boolean {
    const {child} = this;
    return child?.exitCode === null && child.signalCode === null;
  }

  /** Configuration version reported by the daemon, or undefined on failure. */
  async readVersion(): Promise<bigint | undefined> {
    try {
      const response = await request(`http://${this.plan.operators}/status`, {
        headersTimeout: statusTimeoutMilliseconds,
      });
      const {version} = (await response.body.json()) as {version: string};
      return BigInt(version);
    } catch {
      return undefined;
    }
  }

  /** Sends `signal` to the process. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Waits for the exit and returns its status, or null after a signal. */
  async waitForExit(): Promise<number | null> {
    if (this.child === undefined) return null;
    if (this.child.exitCode !== null || this.child.signalCode !== null)
      return this.child.exitCode;
    await once(this.child, 'exit');
    return this.child.exitCode;
  }

  /** Kills the process in any state and removes its settings file. */
  async close(): Promise<void> {
    this.signal('SIGKILL');
    await this.waitForExit();
    rmSync(this.directory, {recursive: true, force: true});
  }
}

/** Thrown when a daemon exits or the timeout passes before it is ready. */
export class DaemonStartError extends Error {
  constructor(host: string, output: string) {
    super(
      `daemon of host ${host} exited or timed out before it was ready; last output: ${output.slice(-2000)}`,
    );
    this.name = 'DaemonStartError';
  }
}

function settingsOf(options: DaemonOptions) {
  const {upstreamSilenceMilliseconds} = options;
  return {
    host: options.host,
    failureDomain: options.failureDomain,
    listen: {
      callers: options.callers,
      operators: options.operators,
      peers: options.peers,
    },
    platform: {addresses: [options.platform]},
    seeds: [...options.seeds],
    peerSecurity: {kind: 'plain'},
    // The first process of a host has no predecessor.
    limits: {retryStartMilliseconds: 0},
    ...(upstreamSilenceMilliseconds !== undefined && {
      upstreamSilenceMilliseconds,
    }),
  };
}
