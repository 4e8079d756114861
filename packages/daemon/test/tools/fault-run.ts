/** Daemons in processes of their own, with load and faults, for one test. */

import {hostId, defaultInvariantBounds} from '@persimmonwick/coordination';
import {DaemonGroup, sampleKeys, sampleModel} from '@persimmonwick/standins';
import type {
  CallerResult,
  DaemonProcess,
  DaemonGroupOptions,
} from '@persimmonwick/standins';
import type {ExecutionContext} from 'ava';

export type Account = 'batinah' | 'lembaga';

const waitMilliseconds = 60_000;
const pollMilliseconds = 25;
const maximumTries = 40;
const retryMilliseconds = 250;
const testMilliseconds = 140_000;

export const pause = (milliseconds: number) =>
  new Promise<void>(done => setTimeout(done, milliseconds));

export class FaultRun {
  private requests = 0;
  /** Streams that have ended, for the log of a run that fails. */
  private readonly endedStreams: CallerResult[] = [];

  private constructor(
    private readonly t: ExecutionContext,
    readonly group: DaemonGroup,
  ) {}

  /** Starts a group that ends with the test, whatever happens. */
  static async start(
    t: ExecutionContext,
    options: DaemonGroupOptions = {},
  ): Promise<FaultRun> {
    t.timeout(testMilliseconds);
    const group = await DaemonGroup.start(options);
    t.teardown(() => group.close());
    const run = new FaultRun(t, group);
    await run.untilClaimsAreTaken();
    return run;
  }

  get daemons(): readonly DaemonProcess[] {
    return this.group.daemons;
  }

  /**
   * Sends a stream through the daemon at `index`, and sends it again, as a
   * request of its own, while the answer is that it did not run.
   */
  async stream(
    index: number,
    maximumTokens: number,
    account: Account = 'batinah',
  ): Promise<CallerResult> {
    for (let tries = 1; ; tries += 1) {
      const result = await this.streamOnce(index, maximumTokens, account);
      const {answer, code} = result;
      const isRefused = answer.kind === 'failed' && answer.ran === 'not-run';
      if (!isRefused || tries === maximumTries) {
        this.endedStreams.push(result);
        return result;
      }
      this.t.log(`refused: ${code}`);
      await pause(retryMilliseconds);
    }
  }

  private streamOnce(
    index: number,
    maximumTokens: number,
    account: Account,
  ): Promise<CallerResult> {
    const {name, plan} = this.daemons[index]!;
    const request = this.nextRequest('stream');
    return this.group.caller.stream({
      request,
      host: name,
      address: plan.callers,
      key: sampleKeys[account],
      model: sampleModel,
      prompt: `check drawing ${request} for its pinout`,
      maximumTokens,
    });
  }

  /** Sends `count` streams, the accounts in turn. */
  streams(index: number, count: number, tokens: number) {
    return Array.from({length: count}, (_, each) =>
      this.stream(index, tokens, each % 2 === 0 ? 'batinah' : 'lembaga'),
    );
  }

  /** Sends a call that may run once. */
  release(index: number, idempotencyKey: string) {
    return this.call(index, 'kit-releases', idempotencyKey);
  }

  call(index: number, route: string, idempotencyKey?: string) {
    const {name, plan} = this.daemons[index]!;
    return this.group.caller.call({
      request: this.nextRequest('call'),
      host: name,
      address: plan.callers,
      key: sampleKeys.batinah,
      account: 'batinah',
      route,
      path: `/${route}/7`,
      idempotencyKey,
    });
  }

  /** Ends a daemon by SIGKILL and records that it is gone. */
  async kill(daemon: DaemonProcess): Promise<void> {
    daemon.signal('SIGKILL');
    this.group.recorder.record({
      kind: 'host-lost',
      host: hostId(daemon.name),
    });
    await daemon.waitForExit();
  }

  /** Records that `version` was published, to be in force at all daemons. */
  recordPublished(version: number): void {
    this.group.recorder.record({
      kind: 'version-published',
      version: BigInt(version),
      hosts: this.daemons.map(({plan}) => hostId(plan.host)),
    });
  }

  /** Reads the version of each daemon, and records those that answer. */
  async readVersions(): Promise<Array<bigint | undefined>> {
    const versions = [];
    for (const daemon of this.daemons) {
      const version = await daemon.readVersion();
      versions.push(version);
      if (version !== undefined)
        this.group.recorder.record({
          kind: 'version-in-force',
          host: hostId(daemon.plan.host),
          version,
        });
    }
    return versions;
  }

  /** Waits until `version` is in force at each daemon. */
  async untilVersion(version: number): Promise<void> {
    await this.until(`version ${version}`, async () =>
      (await this.readVersions()).every(each => each === BigInt(version)),
    );
  }

  /** Number of recorded events of `kind`. */
  count(kind: 'token-delivered' | 'upstream-ran' | 'memory-held'): number {
    const {events} = this.group.recorder;
    return events.filter(event => event.kind === kind).length;
  }

  /** Number of requests that have had a token. */
  get streaming(): number {
    const seen = this.group.recorder.events.flatMap(event =>
      event.kind === 'token-delivered' ? [event.request] : [],
    );
    return new Set(seen).size;
  }

  /** Waits until `condition` holds; the limit only ends a test that hangs. */
  async until(
    what: string,
    condition: () => boolean | Promise<boolean>,
  ): Promise<void> {
    const limit = performance.now() + waitMilliseconds;
    while (!(await condition())) {
      if (performance.now() > limit) {
        this.t.log('streams ended so far', countAnswers(this.endedStreams));
        this.t.log('streams that had a token', this.streaming);
        this.t.fail(`${what} did not come about`);
        return;
      }
      await pause(pollMilliseconds);
    }
  }

  /** Waits for the engines' memory, then checks the run. */
  async check(): Promise<void> {
    await this.until('free memory', () => this.group.heldTokens === 0);
    this.t.deepEqual(this.group.recorder.check(defaultInvariantBounds), []);
  }

  private nextRequest(kind: string): string {
    this.requests += 1;
    return `${kind}-${this.requests}`;
  }

  private untilClaimsAreTaken(): Promise<void> {
    let tries = 0;
    return this.until('a claim', async () => {
      tries += 1;
      const {status} = await this.release(0, `first-${tries}`);
      return status === 201;
    });
  }
}

/** How many of `results` ended in each way. */
export function countAnswers(results: readonly CallerResult[]) {
  const counts: Record<string, number> = {};
  for (const {answer, code} of results) {
    const name = answer.kind === 'failed' ? `failed ${code}` : answer.kind;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
