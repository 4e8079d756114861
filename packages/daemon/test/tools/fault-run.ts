/** Runs daemons in separate processes with load and faults, for one test. */

import {hostId, defaultInvariantBounds} from '@persimmonwick/coordination';
import {DaemonGroup, sampleKeys, sampleModel} from '@persimmonwick/standins';
import type {
  CallerResult,
  DaemonProcess,
  DaemonGroupOptions,
} from '@persimmonwick/standins';
import type {ExecutionContext} from 'ava';

export type Account = 'batinah' | 'lembaga';

const waitTimeoutMilliseconds = 60_000;
const pollIntervalMilliseconds = 25;
const retryIntervalMilliseconds = 250;
const testTimeoutMilliseconds = 140_000;

export const sleep = (milliseconds: number) =>
  new Promise<void>(done => setTimeout(done, milliseconds));

export class FaultRun {
  private requestCount = 0;
  /** Finished streams, which are logged when the test fails. */
  private readonly finishedStreams: CallerResult[] = [];

  private constructor(
    private readonly t: ExecutionContext,
    readonly group: DaemonGroup,
  ) {}

  /** Starts a group that is closed at the end of the test. */
  static async start(
    t: ExecutionContext,
    options: DaemonGroupOptions = {},
  ): Promise<FaultRun> {
    t.timeout(testTimeoutMilliseconds);
    const group = await DaemonGroup.start(options);
    t.teardown(() => group.close());
    const run = new FaultRun(t, group);
    await run.waitUntilClaimsSucceed();
    return run;
  }

  get daemons(): readonly DaemonProcess[] {
    return this.group.daemons;
  }

  /**
   * Sends a streamed request through the daemon at `daemonIndex`. Sends it again,
   * as a new request, while it fails with `ran: 'not-run'`.
   */
  async streamWithRetries(
    daemonIndex: number,
    maximumTokens: number,
    account: Account = 'batinah',
  ): Promise<CallerResult> {
    const giveUpAt = performance.now() + waitTimeoutMilliseconds;
    for (;;) {
      const result = await this.streamOnce(daemonIndex, maximumTokens, account);
      const {answer, code} = result;
      const isRefused = answer.kind === 'failed' && answer.ran === 'not-run';
      if (!isRefused || performance.now() > giveUpAt) {
        this.finishedStreams.push(result);
        return result;
      }
      this.t.log(`refused: ${code}`);
      await sleep(retryIntervalMilliseconds);
    }
  }

  private streamOnce(
    daemonIndex: number,
    maximumTokens: number,
    account: Account,
  ): Promise<CallerResult> {
    const {name, plan} = this.daemons[daemonIndex]!;
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

  /** Starts `count` streams, with alternating accounts. */
  startStreams(daemonIndex: number, count: number, tokens: number) {
    return Array.from({length: count}, (_, each) =>
      this.streamWithRetries(
        daemonIndex,
        tokens,
        each % 2 === 0 ? 'batinah' : 'lembaga',
      ),
    );
  }

  /** Sends an at-most-once call. */
  callAtMostOnce(daemonIndex: number, idempotencyKey: string) {
    return this.call(daemonIndex, 'kit-releases', idempotencyKey);
  }

  call(daemonIndex: number, route: string, idempotencyKey?: string) {
    const {name, plan} = this.daemons[daemonIndex]!;
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

  /** Kills a daemon with SIGKILL and records the loss of its host. */
  async kill(daemon: DaemonProcess): Promise<void> {
    daemon.signal('SIGKILL');
    this.group.recorder.record({
      kind: 'host-lost',
      host: hostId(daemon.name),
    });
    await daemon.waitForExit();
  }

  /** Records that `version` was published and must come into force everywhere. */
  recordPublished(version: number): void {
    this.group.recorder.record({
      kind: 'version-published',
      version: BigInt(version),
      hosts: this.daemons.map(({plan}) => hostId(plan.host)),
    });
  }

  /** Reads the version of each daemon and records it for those that answer. */
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

  /** Waits until `version` is active at each daemon. */
  async waitForVersion(version: number): Promise<void> {
    await this.waitUntil(`version ${version}`, async () =>
      (await this.readVersions()).every(each => each === BigInt(version)),
    );
  }

  /** Number of recorded events of `kind`. */
  count(kind: 'token-delivered' | 'upstream-ran' | 'memory-held'): number {
    const {events} = this.group.recorder;
    return events.filter(event => event.kind === kind).length;
  }

  /** Number of requests that received at least one token. */
  get streamingRequestCount(): number {
    const seen = this.group.recorder.events.flatMap(event =>
      event.kind === 'token-delivered' ? [event.request] : [],
    );
    return new Set(seen).size;
  }

  /** Waits until `condition` holds. The timeout only ends a test that hangs. */
  async waitUntil(
    description: string,
    condition: () => boolean | Promise<boolean>,
  ): Promise<void> {
    const deadline = performance.now() + waitTimeoutMilliseconds;
    while (!(await condition())) {
      if (performance.now() > deadline) {
        this.t.log('finished streams', countOutcomes(this.finishedStreams));
        this.t.log('streams that received a token', this.streamingRequestCount);
        this.t.fail(`${description} did not come about`);
        return;
      }
      await sleep(pollIntervalMilliseconds);
    }
  }

  /** Waits until the engines hold no memory, then checks the invariants. */
  async checkInvariants(): Promise<void> {
    await this.waitUntil('free memory', () => this.group.heldTokens === 0);
    this.t.deepEqual(this.group.recorder.check(defaultInvariantBounds), []);
  }

  private nextRequest(kind: string): string {
    this.requestCount += 1;
    return `${kind}-${this.requestCount}`;
  }

  private waitUntilClaimsSucceed(): Promise<void> {
    let attempts = 0;
    return this.waitUntil('a claim', async () => {
      attempts += 1;
      const {status} = await this.callAtMostOnce(0, `first-${attempts}`);
      return status === 201;
    });
  }
}

/** Counts `results` by outcome. */
export function countOutcomes(results: readonly CallerResult[]) {
  const counts: Record<string, number> = {};
  for (const {answer, code} of results) {
    const name = answer.kind === 'failed' ? `failed ${code}` : answer.kind;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
