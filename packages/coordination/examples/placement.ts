/** Runs one completion on a simulated fleet while its decode engine fails. */

import {SimulatedFleet} from '../src/index.js';
import type {CompletionEvent} from '../src/index.js';

const host = {name: 'host-1', failureDomain: 'a'};

/** Runs the example and returns the events of the completion in order. */
export async function runPlacementExample(): Promise<CompletionEvent[]> {
  const fleet = new SimulatedFleet({
    engines: [
      {name: 'prefill-1', role: 'prefill', failureDomain: 'a'},
      {name: 'decode-1', role: 'decode', failureDomain: 'a'},
      {name: 'decode-2', role: 'decode', failureDomain: 'b'},
    ],
    hosts: [host],
    accounts: {batinah: 1},
    firstTokenMilliseconds: 1_500,
    betweenTokensMilliseconds: 60,
    domainDelayMilliseconds: 1.5,
    seed: 1,
  });
  const runner = fleet.makeRunner(host);
  const request = fleet.makeRequest({
    account: 'batinah',
    service: 'targeted',
    prompt: 'check these pinouts',
    promptTokens: 3,
    maximumTokens: 10,
    timeoutMilliseconds: 10_000,
  });
  const events: CompletionEvent[] = [];
  const answer = (async () => {
    const caller = new AbortController();
    for await (const event of runner.run(request, caller.signal))
      events.push(event);
  })();
  await fleet.clock.advance(100);
  fleet.engine('decode-1').fail({kind: 'dead'});
  await fleet.clock.runUntil(answer);
  await fleet.clock.runUntil(runner.close());
  return events;
}
