/** One start of a host that can be paused and killed on virtual time. */

import {Result} from 'true-myth';
import type {Clock} from '../../src/clock.js';
import type {
  PeerIdentity,
  PeerReplyBody,
  PeerRequestBody,
  PeerTransport,
} from '../../src/index.js';
import type {InMemoryNetwork} from '../../src/index.js';

/** Everything that the host does waits here while it is paused or dead. */
export class SimulatedHost {
  isKilled = false;
  private pausedUntil = 0;

  constructor(
    readonly identity: PeerIdentity,
    private readonly base: Clock,
    private readonly network: InMemoryNetwork,
  ) {}

  readonly clock: Clock = {
    now: () => this.base.now(),
    wallNow: () => this.base.wallNow(),
    sleep: async (milliseconds, signal) => {
      await this.base.sleep(milliseconds, signal);
      await this.waitUntilRunning();
    },
  };

  /** Resolves when the host runs; never once it is dead. */
  async waitUntilRunning(): Promise<void> {
    while (!this.isKilled && this.base.now() < this.pausedUntil)
      await this.base.sleep(this.pausedUntil - this.base.now());
    if (this.isKilled) await new Promise(() => {});
  }

  pause(milliseconds: number): void {
    this.pausedUntil = this.base.now() + milliseconds;
  }

  /** Makes `answer` reachable under the host's id. */
  listen(
    answer: (
      body: PeerRequestBody,
      from: PeerIdentity,
    ) => Promise<PeerReplyBody>,
  ): void {
    this.network.attach(this.identity.host, async (body, from) => {
      await this.waitUntilRunning();
      const reply = await answer(body, from);
      await this.waitUntilRunning();
      return reply;
    });
  }

  kill(): void {
    this.isKilled = true;
    this.network.detach(this.identity.host);
  }

  readonly transport: PeerTransport = {
    exchange: async (host, body, timeoutMilliseconds) => {
      if (this.isKilled) return Result.err({kind: 'unreachable', host});
      const transport = this.network.transportOf(this.identity);
      const reply = await transport.exchange(host, body, timeoutMilliseconds);
      await this.waitUntilRunning();
      return reply;
    },
  };
}
