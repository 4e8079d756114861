/** A small simulated fleet for placement tests. */

import type {
  CompletionEvent,
  CompletionRunner,
  CompletionRunnerParts,
  SimulatedRequestSpec,
} from '../../src/index.js';
import {SimulatedFleet} from '../../src/index.js';

export const testHost = {name: 'host-1', failureDomain: 'a'};

const defaultRequest: SimulatedRequestSpec = {
  account: 'batinah',
  service: 'targeted',
  prompt: 'word '.repeat(400),
  promptTokens: 400,
  maximumTokens: 20,
  timeoutMilliseconds: 20_000,
};

/** Two prefill engines (`p1`, `p2`) and two decode engines (`d1`, `d2`). */
export function makeFleet(parts: Partial<CompletionRunnerParts> = {}) {
  const fleet = new SimulatedFleet({
    engines: [
      {name: 'p1', role: 'prefill', failureDomain: 'a'},
      {name: 'p2', role: 'prefill', failureDomain: 'b'},
      {name: 'd1', role: 'decode', failureDomain: 'a'},
      {name: 'd2', role: 'decode', failureDomain: 'b'},
    ],
    hosts: [testHost],
    accounts: {batinah: 1, sohar: 1},
    firstTokenMilliseconds: 1_500,
    betweenTokensMilliseconds: 60,
    domainDelayMilliseconds: 1.5,
    seed: 1,
  });
  return {fleet, runner: fleet.makeRunner(testHost, parts)};
}

/** Starts a request and collects its events. */
export function startRequest(
  fleet: SimulatedFleet,
  runner: Pick<CompletionRunner, 'run'>,
  spec: Partial<SimulatedRequestSpec> = {},
  caller = new AbortController(),
) {
  const events: CompletionEvent[] = [];
  const startedRequest = fleet.makeRequest({...defaultRequest, ...spec});
  const done = (async () => {
    for await (const event of runner.run(startedRequest, caller.signal))
      events.push(event);
  })();
  return {events, done, request: startedRequest};
}

/** True when every token arrived once, in order, followed by `finished`. */
export function isCompleteStream(
  events: readonly CompletionEvent[],
  tokens = 20,
) {
  const offsets = events.flatMap(event =>
    event.kind === 'token' ? [event.offset] : [],
  );
  return (
    events.length === tokens + 1 &&
    events.at(-1)?.kind === 'finished' &&
    offsets.every((offset, index) => offset === index)
  );
}

export function totalHeldTokens(fleet: SimulatedFleet): number {
  let sum = 0;
  for (const engine of fleet.engines.values()) sum += engine.heldTokens;
  return sum;
}

/** Name of the first engine that is decoding. */
export function decodingEngine(fleet: SimulatedFleet): string {
  for (const [name, engine] of fleet.engines)
    for (const {state} of engine.running())
      if (state === 'decoding') return name;
  return 'none';
}

/** Name of the first engine that is running a prefill. */
export function prefillingEngine(fleet: SimulatedFleet): string {
  for (const [name, engine] of fleet.engines)
    for (const {state} of engine.running())
      if (state === 'prefilling') return name;
  return 'none';
}
