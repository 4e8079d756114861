/** Daemons in processes of their own, one in each sample failure domain. */

import {Caller} from './caller.js';
import {DaemonProcess} from './daemon-process.js';
import type {DaemonOptions} from './daemon-process.js';
import type {FakeEngineOptions} from './fake-engine-options.js';
import {findFreeAddresses} from './free-ports.js';
import {RunRecorder} from './run-recorder.js';
import {SampleFleet, sampleFailureDomains} from './sample-fleet.js';
import {TcpProxy} from './tcp-proxy.js';

const addressesPerDaemon = 3;

export interface DaemonGroupOptions {
  readonly engines?: Partial<FakeEngineOptions>;
  readonly claimRetentionMilliseconds?: number;
  /** Puts a proxy before each engine and before the platform. */
  readonly usesProxies?: boolean;
}

export class DaemonGroup {
  readonly recorder = new RunRecorder();
  readonly caller = new Caller(this.recorder);

  private constructor(
    readonly fleet: SampleFleet,
    readonly daemons: readonly DaemonProcess[],
    /** Proxies by the addresses that they stand before. */
    readonly proxies: ReadonlyMap<string, TcpProxy>,
  ) {}

  /** Starts fakes and daemons; resolves when every daemon is ready. */
  static async start(options: DaemonGroupOptions = {}): Promise<DaemonGroup> {
    const count = sampleFailureDomains.length;
    const addresses = await findFreeAddresses(count * addressesPerDaemon);
    const members = sampleFailureDomains.map((failureDomain, index) => ({
      host: `${failureDomain}-1`,
      failureDomain,
      address: addresses[index]!,
    }));
    const proxies = new Map<string, TcpProxy>();
    const frontOf = async (target: string) => {
      if (options.usesProxies !== true) return target;
      const proxy = await TcpProxy.start(target);
      proxies.set(target, proxy);
      return proxy.address;
    };
    const fleet = new SampleFleet(
      options.engines,
      members,
      frontOf,
      options.claimRetentionMilliseconds,
    );
    await fleet.start();
    const platform = await frontOf(fleet.platform.address);
    const daemons = members.map((member, index) => {
      const plan: DaemonOptions = {
        host: member.host,
        failureDomain: member.failureDomain,
        peers: member.address,
        callers: addresses[count + index]!,
        operators: addresses[2 * count + index]!,
        platform,
        seeds: members.map(({address}) => address),
      };
      return new DaemonProcess(plan);
    });
    const group = new DaemonGroup(fleet, daemons, proxies);
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

  /** The proxy before a fake; the group must have been started with proxies. */
  proxyOf({address}: {readonly address: string}): TcpProxy {
    return this.proxies.get(address)!;
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
    await Promise.all([...this.proxies.values()].map(proxy => proxy.close()));
    await this.fleet.close();
  }

  private recordConfiguration(): void {
    for (const event of this.fleet.describeLimits())
      this.recorder.record(event);
  }
}
