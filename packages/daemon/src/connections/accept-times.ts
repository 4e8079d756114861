/**
 * Tells since when the connections that are accepted at a port may have waited there.
 * Node accepts one in each turn of the event loop, so the others wait for their turns.
 * This module imports only Node's built-in modules, because it is loaded before the rest
 * of the program.
 */

import type {Socket} from 'node:net';

const earliestOpenings = new WeakMap<Socket, number>();

/** Earliest time of the steady clock at which `socket` can have been opened, if known. */
export function earliestOpeningOf(socket: Socket): number | undefined {
  return earliestOpenings.get(socket);
}

/**
 * Longest time since the first of the connections that are accepted one after the other
 * that counts as a wait. Under lasting load each turn accepts one that is new.
 */
const maximumRunMilliseconds = 100;

/** Connections that are accepted in turns that follow each other. */
interface AcceptRun {
  readonly startedAt: number;
  /** Time for which the first can have waited. */
  readonly firstWait: number;
}

export class AcceptTimes {
  /** Undefined while no connection waits. */
  private run: AcceptRun | undefined;
  private hasAccepted = false;

  /** `earliestArrival` returns the earliest time at which what is read now can have arrived. */
  constructor(private readonly earliestArrival: () => number) {}

  record(socket: Socket): void {
    this.hasAccepted = true;
    const now = performance.now();
    if (this.run === undefined) this.watch();
    this.run ??= {startedAt: now, firstWait: now - this.earliestArrival()};
    const {startedAt, firstWait} = this.run;
    const sinceFirst = Math.min(now - startedAt, maximumRunMilliseconds);
    earliestOpenings.set(socket, now - sinceFirst - firstWait);
  }

  /** Looks on until a turn of the event loop accepts none. */
  private watch(): void {
    setImmediate(() => {
      if (!this.hasAccepted) {
        this.run = undefined;
        return;
      }
      this.hasAccepted = false;
      this.watch();
    });
  }
}
