/** Runs a server of passed-through calls with a host that a test defines. */

import type {ExecutionContext} from 'ava';
import {Result} from 'true-myth';
import {
  ProcessorTime,
  RequestMemory,
  seededRandom,
  ShutdownSchedule,
  systemClock,
} from '@persimmonwick/coordination';
import type {IncomingCall, PassthroughHost} from '@persimmonwick/coordination';
import {CallReadMetrics} from '../../src/connections/call-read-metrics.js';
import {EventLoopMonitor} from '../../src/connections/event-loop-monitor.js';
import {EarlyListener} from '../../src/passthrough/early-listener.js';
import {PassthroughServer} from '../../src/passthrough/passthrough-server.js';

/** Starts a server of passed-through calls before `host`. */
export async function startServer(
  t: ExecutionContext,
  host: Partial<PassthroughHost>,
  listener?: EarlyListener,
  bodyBytes = 1024,
): Promise<{address: string; errors: string[]; server: PassthroughServer}> {
  const errors: string[] = [];
  const monitor = new EventLoopMonitor();
  t.teardown(() => monitor.close());
  const server = new PassthroughServer({
    clock: systemClock,
    host: {
      deadlineOf: () => Infinity,
      urgencyOf: () => 0,
      ...host,
    } as PassthroughHost,
    shutdown: new ShutdownSchedule(systemClock),
    requestMemory: new RequestMemory({clock: systemClock, budgetBytes: 100e6}),
    wireFormat: {
      parseCall: () => Result.ok({id: 'call-1'} as IncomingCall),
      failureHeaders: () => [],
      handoverHeaders: () => [],
    },
    limits: () => ({
      headerBytes: 16_384,
      bodyBytes,
      headersTimeoutMilliseconds: 1000,
      keepAliveTimeoutMilliseconds: 1000,
    }),
    isPeer: () => false,
    onTakenOver: () => undefined,
    monitor,
    random: seededRandom(1),
    processorTime: new ProcessorTime(),
    reads: new CallReadMetrics(),
    onEnd: () => undefined,
    onConnectionLoss: () => undefined,
    onUnreadInput: () => undefined,
    onInternalError: (requestId, error) =>
      errors.push(`${requestId}: ${String(error)}`),
  });
  t.teardown(() => server.close());
  return {
    address: await server.serve(
      listener ?? (await EarlyListener.open('127.0.0.1:0')),
    ),
    errors,
    server,
  };
}

/** The routing of a call on a route that is open to all. */
export const openRoute = Result.ok({
  route: {name: 'r', target: {repeatable: true}},
  account: undefined,
}) as never;
