/** Daemons in processes of their own, one in each sample failure domain. */

import {Caller} from './caller.js';
import {DaemonProcess} from './daemon-process.js';
import type {DaemonPlan} from './daemon-process.js';
import type {FakeEngineOptions} from './fake-engine.js';
import {findFreeAddresses} from './free-ports.js';
import {RunRecorder} from './run-recorder.js';
import {SampleFleet, sampleFailureDomains} from './sample-fleet.js';

const addressesPerDaemon = 3;

export class DaemonGroup {
  readonly recorder = new RunRecorder();
  readonly caller = new Caller(this.recorder);

  private constructor(
    readonly fleet: SampleFleet,
    readonly daemons: readonly DaemonProcess[],
  ) {}

  /** Starts fakes and daemons; resolves when every daemon is ready. */
  static async start(
    options: Partial<FakeEngineOptions> = {},
  ): Promise<DaemonGroup> {
    const count = sampleFailureDomains.length;
    const addresses = await findFreeAddresses(count * addressesPerDaemon);
    const members = sampleFailureDomains.map((failureDomain, index) => ({
      host: `${failureDomain}-1`,
      failureDomain,
      address: addresses[index]!,
    }));
    const fleet = new SampleFleet(options, members);
    await fleet.start();
    const daemons = members.map((member, index) => {
      const plan: DaemonPlan = {
        host: member.host,
        failureDomain: member.failureDomain,
        peers: member.address,
        callers: addresses[count + index]!,
        operators: addresses[2 * count + index]!,
        platform: fleet.platform.address,
        seeds: members.map(({address}) => address),
      };
      return new DaemonProcess(plan);
    });
    const group = new DaemonGroup(fleet, daemons);
    group.recorder.watch(fleet);
    group.recordConfiguration();
    for (const daemon of daemons) daemon.start();
    try {
      await Promise.all(daemons.map(daemon => daemon.waitUntilReady()));
    } catch (error) {
      await group.close();
      throw error;
    }
    return group;
  }

  /** Tokens of KV cache that all engines hold. */
  get heldTokens(): number {
    return this.fleet.engines.reduce(
      (sum, engine) => sum + engine.heldTokens,
      0,
    );
  }

  async close(): Promise<void> {
    await Promise.all(this.daemons.map(daemon => daemon.close()));
    await this.fleet.close();
  }

  private recordConfiguration(): void {
    for (const event of this.fleet.describeLimits())
      this.recorder.record(event);
  }
}
