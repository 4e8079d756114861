/** Makes an upstream suspect if an attempt gets no byte from it in time. */

import type {Clock} from '../clock.js';
import {silenceBoundOf} from '../decisions/link-silence.js';
import {sleepUntilRead} from '../pause-aware-sleep.js';
import type {RoutedCall, TransportResult} from './call.js';
import type {TrackedUpstream} from './upstream-table.js';

export interface WatchedAttempt<Value> {
  readonly call: RoutedCall;
  readonly upstream: TrackedUpstream;
  readonly head: TransportResult<Value>;
  /**
   * Whether the attempt has a connection of its own. Only then its response shows
   * that new connections pass bytes.
   */
  readonly needsNewConnection: boolean;
}

/** Watches an attempt until its head arrives. */
export async function watchSilence<Value>(
  clock: Clock,
  {call, upstream, head, needsNewConnection}: WatchedAttempt<Value>,
): Promise<void> {
  const {health} = upstream;
  const startedAt = clock.now();
  const ended = new AbortController();
  void head.then(result => {
    ended.abort();
    const hasResponse =
      result.isOk ||
      result.error.kind === 'refused' ||
      result.error.kind === 'misdirected';
    if (hasResponse && needsNewConnection) health.recordResponse(clock.now());
  });
  const bound = silenceBoundOf(call.route.firstTokenTargetMilliseconds);
  await sleepUntilRead(clock, bound, ended.signal);
  // A response to a later call shows that the upstream is only slow.
  if (ended.signal.aborted || health.lastResponseAt > startedAt) return;
  health.recordSilence(clock.now());
}
