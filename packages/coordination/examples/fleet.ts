/** Three hosts exchange heartbeats; one stops and looks dead to the others. */

import {
  FleetView,
  InMemoryNetwork,
  PauseDetector,
  VirtualClock,
  buildConfiguration,
  emptyConfiguration,
  failureDomainId,
  hostId,
  incarnation,
  seededRandom,
} from '../src/index.js';

const names = ['one', 'two', 'three'].map(hostId);

/** Whether host one takes host three for live, before and after it stopped. */
export interface FleetExampleResult {
  readonly before: boolean;
  readonly after: boolean;
}

export async function runFleetExample(): Promise<FleetExampleResult> {
  const clock = new VirtualClock();
  const network = new InMemoryNetwork(clock);
  const members = names.map((host, at) => ({
    host,
    failureDomain: 'north',
    address: `10.0.0.${at}:7000`,
  }));
  const configuration = buildConfiguration(1n, [
    {kind: 'Membership', name: 'fleet', spec: {members}},
  ]).unwrapOr(emptyConfiguration);
  const hosts = names.map((host, at) => {
    const self = {host, incarnation: incarnation(`${host}-1`)};
    const pauses = new PauseDetector({clock});
    const view = new FleetView({
      clock,
      random: seededRandom(at),
      self,
      failureDomain: failureDomainId('north'),
      configuration: () => configuration,
      transport: network.transportOf(self),
      pauseDetector: pauses,
      reconnect: async () => {},
    });
    network.attach(host, (body, from) =>
      body.$case === 'fleet'
        ? {$case: 'fleet', value: view.handle(body.value, from)}
        : {$case: 'refusal', value: {code: 0}},
    );
    pauses.start();
    view.start();
    return {view, pauses};
  });
  const [first, , third] = hosts;
  await clock.advance(10_000);
  const before = first!.view.isLikelyLive(names[2]!);
  network.detach(names[2]!);
  void third!.view.close();
  await clock.advance(20_000);
  const after = first!.view.isLikelyLive(names[2]!);
  for (const {view, pauses} of hosts) {
    void view.close();
    await pauses.close();
  }
  return {before, after};
}
