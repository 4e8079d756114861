import test from 'ava';
import {RetryFleet} from './tools/retry-fleet.js';

/** Hosts have been up for longer than a window when calls begin. */
const quietMilliseconds = 14_000;

const fleets = [
  {hosts: 1, callsPerSecond: 8, extra: 42},
  {hosts: 8, callsPerSecond: 12, extra: 56},
  {hosts: 80, callsPerSecond: 55, extra: 200},
] as const;

interface Scenario {
  readonly title: string;
  readonly fewestHosts: number;
  readonly play: (fleet: RetryFleet) => Promise<void>;
}

const scenarios: readonly Scenario[] = [
  // Attempts that do not pass the budget exceed it while nothing else happens.
  {
    title: 'hosts in contact',
    fewestHosts: 1,
    play: fleet => fleet.run(22_000),
  },
  // A process that starts does not know what the one before has spent.
  {
    title: 'hosts that all crash three times',
    fewestHosts: 1,
    async play(fleet) {
      for (const pause of [6000, 3500, 3500]) {
        await fleet.run(pause);
        fleet.kill(fleet.nodes);
      }
      await fleet.run(12_000);
    },
  },
  // The last process that knows the others ends while they are out of contact.
  {
    title: 'hosts that crash one after the other',
    fewestHosts: 8,
    async play(fleet) {
      await fleet.run(4000);
      for (const node of fleet.nodes) {
        fleet.kill([node]);
        await fleet.run(9000 / fleet.options.hosts);
      }
      await fleet.run(12_000);
    },
  },
  // Each half takes itself for the whole fleet.
  {
    title: 'hosts that crash in two halves',
    fewestHosts: 8,
    async play(fleet) {
      await fleet.run(3000);
      fleet.cut(fleet.part(0.5, 1));
      fleet.kill(fleet.part(0, 0.5));
      await fleet.run(1500);
      fleet.kill(fleet.part(0.5, 1));
      await fleet.run(24_000);
    },
  },
  // Hosts that were never in contact count only each other.
  {
    title: 'hosts that join behind a cut',
    fewestHosts: 8,
    async play(fleet) {
      fleet.cut(fleet.part(0.4, 1));
      await fleet.run(2000);
      fleet.add(Math.round(fleet.options.hosts / 4), 1);
      await fleet.run(24_000);
    },
  },
  // A cut heals and returns, with a crash of the cut hosts between.
  {
    title: 'hosts that are cut off again and again',
    fewestHosts: 8,
    async play(fleet) {
      const part = fleet.part(0.6, 1);
      for (let round = 0; round < 3; round += 1) {
        fleet.cut(part);
        await fleet.run(2500);
        fleet.kill(part);
        await fleet.run(2500);
        fleet.cut(part, 0);
        await fleet.run(2500);
      }
      await fleet.run(6000);
    },
  },
  // A call that goes to another host is a new one there.
  {
    title: 'hosts that hand their calls over',
    fewestHosts: 8,
    async play(fleet) {
      await fleet.run(4000);
      fleet.strand(fleet.part(0, 0.4));
      await fleet.run(20_000);
    },
  },
];

for (const {title, fewestHosts, play} of scenarios)
  for (const options of fleets.filter(({hosts}) => hosts >= fewestHosts))
    test(`${title} send no retries beyond the budget: ${options.hosts} hosts`, async t => {
      const fleet = new RetryFleet({...options, seed: 1});
      await fleet.run(quietMilliseconds);
      fleet.callsPerSecond = options.callsPerSecond;
      fleet.refusedShare = 0.8;
      await play(fleet);
      fleet.close();
      const {from, repeats, allowed} = fleet.worstWindow();
      t.log(`${repeats} repeats, ${Math.floor(allowed)} allowed, at ${from}`);
      t.true(repeats <= allowed, `${repeats} repeats, ${allowed} allowed`);
    });
