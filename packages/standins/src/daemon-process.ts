/** A daemon in a process of its own, for the demo and tests of failures. */

import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {stringify} from 'yaml';

/** What the settings file of a daemon is made of. */
export interface DaemonOptions {
  readonly host: string;
  readonly failureDomain: string;
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
  readonly platform: string;
  readonly seeds: readonly string[];
}

const daemonFile = fileURLToPath(
  new URL('../../../daemon/dist/src/main.js', import.meta.url),
);
const pollMilliseconds = 50;
const startMilliseconds = 60_000;
const statusMilliseconds = 1_000;

export class DaemonProcess {
  private child: ChildProcess | undefined;
  private readonly folder = mkdtempSync(join(tmpdir(), 'persimmonwick-'));
  private starts = 0;
  /** What the daemon has written to its log. */
  output = '';

  constructor(readonly plan: DaemonOptions) {}

  /** Names the running process: a host that starts again has a new name. */
  get name(): string {
    return `${this.plan.host}/${this.starts}`;
  }

  /** Starts the process; a stopped daemon may be started again. */
  start(): void {
    this.starts += 1;
    const file = join(this.folder, 'settings.yaml');
    writeFileSync(file, stringify(settingsOf(this.plan)));
    const child = spawn(process.execPath, [daemonFile, '--settings', file], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', chunk => {
        this.output += String(chunk);
      });
    this.child = child;
  }

  /** Resolves when the daemon takes requests. */
  async waitUntilReady(): Promise<void> {
    const limit = performance.now() + startMilliseconds;
    while (this.isRunning && performance.now() < limit) {
      try {
        const answer = await request(`http://${this.plan.operators}/readyz`);
        await answer.body.dump();
        if (answer.statusCode === 200) return;
      } catch {
        // It does not listen yet.
      }
      await new Promise(done => setTimeout(done, pollMilliseconds));
    }
    throw new DaemonExitError(this.plan.host, this.output);
  }

  /** True from the start of the process to its end. */
  get isRunning(): boolean {
    const {child} = this;
    return child?.exitCode === null && child.signalCode === null;
  }

  /** Version that the daemon says is in force; undefined without an answer. */
  async readVersion(): Promise<bigint | undefined> {
    try {
      const answer = await request(`http://${this.plan.operators}/status`, {
        headersTimeout: statusMilliseconds,
      });
      const {version} = (await answer.body.json()) as {version: string};
      return BigInt(version);
    } catch {
      return undefined;
    }
  }

  /** Sends `signal`, as SIGKILL, SIGSTOP, SIGCONT or SIGTERM. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Exit status; undefined while the process runs or after a signal. */
  async waitForExit(): Promise<number | null> {
    if (this.child === undefined) return null;
    if (this.child.exitCode !== null || this.child.signalCode !== null)
      return this.child.exitCode;
    await once(this.child, 'exit');
    return this.child.exitCode;
  }

  /** Ends the process, whatever state it is in. */
  async close(): Promise<void> {
    this.signal('SIGKILL');
    await this.waitForExit();
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/** A daemon that ended before it was ready, or was not ready in time. */
export class DaemonExitError extends Error {
  constructor(host: string, output: string) {
    super(`the daemon of ${host} did not get ready: ${output.slice(-2000)}`);
    this.name = 'DaemonExitError';
  }
}

function settingsOf(plan: DaemonOptions) {
  return {
    host: plan.host,
    failureDomain: plan.failureDomain,
    listen: {
      callers: plan.callers,
      operators: plan.operators,
      peers: plan.peers,
    },
    platform: {addresses: [plan.platform]},
    seeds: [...plan.seeds],
    peerSecurity: {kind: 'plain'},
  };
}
