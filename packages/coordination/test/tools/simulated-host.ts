/** One incarnation of a host that can be paused and killed in virtual time. */

import {Result} from 'true-myth';
import type {Clock} from '../../src/clock.js';
import type {
  PeerIdentity,
  PeerReplyBody,
  PeerRequestBody,
  PeerTransport,
} from '../../src/index.js';
import type {InMemoryNetwork} from '../../src/index.js';

/** Suspends all activity of the host while it is paused or killed. */
export class SimulatedHost {
  isKilled = false;
  private pausedUntil = 0;

  constructor(
    readonly identity: PeerIdentity,
    private readonly baseClock: Clock,
    private readonly network: InMemoryNetwork,
  ) {}

  readonly clock: Clock = {
    now: () => this.baseClock.now(),
    wallNow: () => this.baseClock.wallNow(),
    sleep: async (milliseconds, signal) => {
      await this.baseClock.sleep(milliseconds, signal);
      await this.waitUntilRunning();
    },
  };

  /** Resolves when the host is not paused. Never resolves once it is killed. */
  async waitUntilRunning(): Promise<void> {
    while (!this.isKilled && this.baseClock.now() < this.pausedUntil)
      await this.baseClock.sleep(this.pausedUntil - this.baseClock.now());
    if (this.isKilled) await new Promise(() => {});
  }

  pause(milliseconds: number): void {
    this.pausedUntil = this.baseClock.now() + milliseconds;
  }

  /** Registers `handleRequest` on the network under the host's id. */
  listen(
    handleRequest: (
      body: PeerRequestBody,
      from: PeerIdentity,
    ) => Promise<PeerReplyBody>,
  ): void {
    this.network.attach(this.identity.host, async (body, from) => {
      await this.waitUntilRunning();
      const reply = await handleRequest(body, from);
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
