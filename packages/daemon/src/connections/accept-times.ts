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

export class AcceptTimes {
  /** Earliest opening of the connections that wait; undefined while none does. */
  private waitingSince: number | undefined;
  private acceptedCount = 0;

  /** `earliestArrival` returns the earliest time at which what is read now can have arrived. */
  constructor(private readonly earliestArrival: () => number) {}

  /** Whether connections may wait at the port: one was accepted in this turn or the last. */
  get isBehind(): boolean {
    return this.waitingSince !== undefined;
  }

  record(socket: Socket): void {
    this.acceptedCount += 1;
    const isFirst = this.waitingSince === undefined;
    this.waitingSince ??= this.earliestArrival();
    earliestOpenings.set(socket, this.waitingSince);
    if (isFirst) this.watch();
  }

  /** Looks on until a turn accepts none. */
  private watch(): void {
    setImmediate(() => {
      const {acceptedCount} = this;
      setImmediate(() => {
        if (this.acceptedCount > acceptedCount) this.watch();
        else this.waitingSince = undefined;
      });
    });
  }
}
