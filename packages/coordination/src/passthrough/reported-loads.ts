/**
 * Loads that other hosts report, with a running total for each upstream, so that
 * reading a load costs the same whatever the number of hosts.
 */

import type {Clock} from '../clock.js';
import type {RunningCalls} from '../decisions/memory-forecast.js';
import type {UpstreamLoad} from '../generated/messages/persimmonwick/beat.js';
import {decodeRunningCalls} from './running-calls.js';

/** Load that calls put on an upstream. */
export interface Load {
  calls: number;
  memoryTokens: number;
  promptTokens: number;
}

/** A report is used for this long. */
const reportLifetimeMilliseconds = 3000;

const noLoad: Readonly<Load> = {calls: 0, memoryTokens: 0, promptTokens: 0};

/** Latest report of one host. */
interface Report {
  readonly receivedAt: number;
  readonly loads: ReadonlyMap<string, UpstreamLoad>;
}

export class ReportedLoads {
  /** By host, oldest report first. */
  private readonly reports = new Map<string, Report>();
  private readonly totals = new Map<string, Load>();
  /** By upstream and host. */
  private readonly runningCallsByHost = new Map<
    string,
    Map<string, readonly RunningCalls[]>
  >();

  constructor(private readonly clock: Clock) {}

  /** Total load of all hosts on an upstream, by their latest reports. */
  totalOf(upstream: string): Readonly<Load> {
    this.expire();
    return this.totals.get(upstream) ?? noLoad;
  }

  /** Calls of all hosts on an upstream, by their latest reports. */
  runningCalls(upstream: string): RunningCalls[] {
    this.expire();
    return [...(this.runningCallsByHost.get(upstream)?.values() ?? [])].flat();
  }

  /**
   * Replaces the report of a host. Returns whether it frees capacity of an
   * upstream.
   */
  replace(host: string, loads: readonly UpstreamLoad[]): boolean {
    const previous = this.reports.get(host)?.loads;
    this.remove(host);
    const current = new Map(loads.map(load => [load.upstream, load]));
    this.reports.set(host, {receivedAt: this.clock.now(), loads: current});
    for (const load of current.values()) {
      this.addToTotal(load, 1);
      const byHost = this.runningCallsByHost.get(load.upstream) ?? new Map();
      byHost.set(host, decodeRunningCalls(load));
      this.runningCallsByHost.set(load.upstream, byHost);
    }
    return previous !== undefined && hasDecreased(previous, current);
  }

  /** Removes the report of a host. Returns whether there was any load in it. */
  remove(host: string): boolean {
    const report = this.reports.get(host);
    if (report === undefined) return false;
    this.reports.delete(host);
    for (const load of report.loads.values()) {
      this.addToTotal(load, -1);
      const byHost = this.runningCallsByHost.get(load.upstream);
      byHost?.delete(host);
      if (byHost?.size === 0) this.runningCallsByHost.delete(load.upstream);
    }
    return report.loads.size > 0;
  }

  private expire(): void {
    const oldest = this.clock.now() - reportLifetimeMilliseconds;
    for (const [host, {receivedAt}] of this.reports) {
      if (receivedAt >= oldest) return;
      this.remove(host);
    }
  }

  private addToTotal(load: UpstreamLoad, sign: 1 | -1): void {
    const before = this.totals.get(load.upstream) ?? noLoad;
    const after = {
      calls: before.calls + sign * load.calls,
      memoryTokens: before.memoryTokens + sign * load.memoryTokens,
      promptTokens: before.promptTokens + sign * load.promptTokens,
    };
    const isEmpty =
      after.calls === 0 && after.memoryTokens === 0 && after.promptTokens === 0;
    if (isEmpty) this.totals.delete(load.upstream);
    else this.totals.set(load.upstream, after);
  }
}

function hasDecreased(
  previous: ReadonlyMap<string, UpstreamLoad>,
  current: ReadonlyMap<string, UpstreamLoad>,
): boolean {
  for (const [upstream, before] of previous) {
    const after = current.get(upstream) ?? noLoad;
    if (after.calls < before.calls || after.memoryTokens < before.memoryTokens)
      return true;
  }
  return false;
}
