/** Runs daemons in separate processes, one per sample failure domain. */

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
  /** Silence after which a daemon suspects a stream. */
  readonly upstreamSilenceMilliseconds?: number;
  /** Whether to put a proxy in front of each engine and the platform. */
  readonly usesProxies?: boolean;
}

export class DaemonGroup {
  readonly recorder = new RunRecorder();
  readonly caller = new Caller(this.recorder);

  private constructor(
    readonly fleet: SampleFleet,
    readonly daemons: readonly DaemonProcess[],
    /** Proxies by the address of their target. */
    readonly proxies: ReadonlyMap<string, TcpProxy>,
  ) {}

  /** Starts fakes and daemons and resolves when every daemon is ready. */
  static async start(options: DaemonGroupOptions = {}): Promise<DaemonGroup> {
    const count = sampleFailureDomains.length;
    const addresses = await findFreeAddresses(count * addressesPerDaemon);
    const members = sampleFailureDomains.map((failureDomain, index) => ({
      host: `${failureDomain}-1`,
      failureDomain,
      address: addresses[index]!,
    }));
    const proxies = new Map<string, TcpProxy>();
    const mapAddress = async (target: string) => {
      if (options.usesProxies !== true) return target;
      const proxy = await TcpProxy.start(target);
      proxies.set(target, proxy);
      return proxy.address;
    };
    const fleet = new SampleFleet(
      options.engines,
      members,
      mapAddress,
      options.claimRetentionMilliseconds,
    );
    await fleet.start();
    const platform = await mapAddress(fleet.platform.address);
    const daemons = members.map((member, index) => {
      const daemonOptions: DaemonOptions = {
        host: member.host,
        failureDomain: member.failureDomain,
        peers: member.address,
        callers: addresses[count + index]!,
        operators: addresses[2 * count + index]!,
        platform,
        seeds: members.map(({address}) => address),
        upstreamSilenceMilliseconds: options.upstreamSilenceMilliseconds,
      };
      return new DaemonProcess(daemonOptions);
    });
    const group = new DaemonGroup(fleet, daemons, proxies);
    group.recorder.observe(fleet);
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

  /** Returns the proxy of a fake. The group must use proxies. */
  proxyOf({address}: {readonly address: string}): TcpProxy {
    return this.proxies.get(address)!;
  }

  /** Number of KV cache tokens held by all engines. */
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
    for (const event of this.fleet.publicationEvents())
      this.recorder.record(event);
  }
}
