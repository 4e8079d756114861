/** Detects with heartbeats among three hosts that one of them has stopped. */

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

const hostIds = ['one', 'two', 'three'].map(hostId);

/** Whether host one considers host three live, before and after it stops. */
export interface FleetExampleResult {
  readonly before: boolean;
  readonly after: boolean;
}

export async function runFleetExample(): Promise<FleetExampleResult> {
  const clock = new VirtualClock();
  const network = new InMemoryNetwork(clock);
  const members = hostIds.map((host, index) => ({
    host,
    failureDomain: 'north',
    address: `10.0.0.${index}:7000`,
  }));
  const configuration = buildConfiguration(1n, [
    {kind: 'Membership', name: 'fleet', spec: {members}},
  ]).unwrapOr(emptyConfiguration);
  const hosts = hostIds.map((host, index) => {
    const self = {host, incarnation: incarnation(`${host}-1`)};
    const pauseDetector = new PauseDetector({clock});
    const view = new FleetView({
      clock,
      random: seededRandom(index),
      self,
      failureDomain: failureDomainId('north'),
      configuration: () => configuration,
      transport: network.transportOf(self),
      pauseDetector,
      reconnect: async () => {},
    });
    network.attach(host, (body, from) =>
      body.$case === 'fleet'
        ? {$case: 'fleet', value: view.handle(body.value, from)}
        : {$case: 'refusal', value: {code: 0}},
    );
    pauseDetector.start();
    view.start();
    return {view, pauseDetector};
  });
  const [first, , third] = hosts;
  // Lets the hosts exchange heartbeats.
  await clock.advance(10_000);
  const before = first!.view.isLikelyLive(hostIds[2]!);
  network.detach(hostIds[2]!);
  void third!.view.close();
  // Lets the other hosts detect that the heartbeats of the third host stopped.
  await clock.advance(20_000);
  const after = first!.view.isLikelyLive(hostIds[2]!);
  for (const {view, pauseDetector} of hosts) {
    void view.close();
    await pauseDetector.close();
  }
  return {before, after};
}
