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
  private hasAccepted = false;

  /** `earliestArrival` returns the earliest time at which what is read now can have arrived. */
  constructor(private readonly earliestArrival: () => number) {}

  record(socket: Socket): void {
    this.hasAccepted = true;
    if (this.waitingSince === undefined) {
      this.waitingSince = this.earliestArrival();
      this.watch();
    }
    earliestOpenings.set(socket, this.waitingSince);
  }

  /** Looks on until a turn of the event loop accepts none. */
  private watch(): void {
    setImmediate(() => {
      if (!this.hasAccepted) {
        this.waitingSince = undefined;
        return;
      }
      this.hasAccepted = false;
      this.watch();
    });
  }
}
