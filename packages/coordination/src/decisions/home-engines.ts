/**
 * Shares of the engines that hosts use first. Load pattern: dozens of hosts that
 * place calls at the same time with the same old reports. A host knows the calls
 * at its home engines without delay, because few other hosts place calls there.
 */

/** Engines at which a host places calls first. */
export interface HomeEngines {
  readonly names: ReadonlySet<string>;
  /** Fraction of the calls at these engines that other hosts place. */
  readonly foreignFraction: number;
}

/** Home engines of a host that is alone. */
export const allEnginesAtHome: HomeEngines = {
  names: new Set(),
  foreignFraction: 0,
};

/**
 * Home engines of a host in a large fleet. With a single one, the calls that
 * happen to arrive at one host within a few seconds would often not fit.
 */
const minimumHomeEngines = 2;

/**
 * Returns the home engines of `self`: an equal part of `engines`, so that hosts
 * that outnumber the engines share them evenly. Hosts that know different hosts
 * share some more of them.
 */
export function homeEnginesOf(
  self: string,
  otherHosts: readonly string[],
  engines: readonly string[],
): HomeEngines {
  const hosts = [...new Set([self, ...otherHosts])].sort();
  const names = [...engines].sort();
  const index = hosts.indexOf(self);
  const first = Math.floor((index * names.length) / hosts.length);
  const end = Math.floor(((index + 1) * names.length) / hosts.length);
  const count = Math.min(
    names.length,
    Math.max(end - first, minimumHomeEngines),
  );
  const home = Array.from(
    {length: count},
    (_, offset) => names[(first + offset) % names.length]!,
  );
  const hostsPerEngine = (hosts.length * count) / Math.max(1, names.length);
  return {
    names: new Set(home),
    foreignFraction: Math.max(0, 1 - 1 / Math.max(1, hostsPerEngine)),
  };
}

/** What decides how much room a call leaves to calls of other hosts. */
export interface PlacementPriority {
  /** Number of urgencies of the pool that come before the one of the call. */
  readonly urgencyRank: number;
  /** Time in which the call has to start to meet its target. */
  readonly timeLeftMilliseconds: number;
  readonly targetMilliseconds: number;
}

/**
 * Room for calls of other hosts at an engine that is not a home engine, in calls.
 * With less, hosts with too many calls often choose the same engine at once.
 */
const roomElsewhere = 0.25;

/** Additional room for each urgency that comes before the one of a call. */
const roomElsewherePerRank = 1.5;

/** The same at home engines that other hosts share. */
const roomAtHomePerRank = 1;

/**
 * Calls of other hosts for which a call leaves room at an engine. More urgent
 * calls that wait at other hosts are not reported, so a less urgent call leaves
 * room for them. It leaves less as its own time runs out, and all of it again when
 * it is late.
 */
export function roomForOthers(
  {urgencyRank, timeLeftMilliseconds, targetMilliseconds}: PlacementPriority,
  isAtHome: boolean,
  foreignFraction: number,
): number {
  const fraction = Math.min(1, timeLeftMilliseconds / targetMilliseconds);
  const patience = fraction >= 0 ? Math.sqrt(fraction) : 1;
  return isAtHome
    ? foreignFraction * roomAtHomePerRank * urgencyRank * patience
    : roomElsewhere + roomElsewherePerRank * urgencyRank * patience;
}
