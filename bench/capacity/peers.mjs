/** Measures the cost of heartbeat peers and sweepers in virtual time. */

import {HostReport_Status} from '../../packages/coordination/dist/src/generated/messages/persimmonwick/fleet.js';
import {hostId} from '../../packages/coordination/dist/src/index.js';
import {incarnationOf} from './documents.mjs';
import {withFleet} from './roles.mjs';
import {heapBytes, lineThrough, processorMicroseconds} from './slope.mjs';

/** Heap and response time of a heartbeat peer by the number of known hosts. */
export function measureView() {
  return withFleet({hosts: 2, domains: 1}, async fleet => {
    const [host] = fleet.hosts;
    const reportOf = index => ({
      host: `other-host-${String(index).padStart(3, '0')}`,
      incarnation: incarnationOf(1000 + index),
      revision: 1,
      status: HostReport_Status.STATUS_LIVE,
    });
    const baselineBytes = heapBytes();
    const rows = [];
    let knownHosts = 0;
    const sender = {
      host: hostId('entry-host-001'),
      incarnation: incarnationOf(1),
    };
    for (const target of [90, 180, 270, 360]) {
      const reports = [];
      while (knownHosts < target) reports.push(reportOf((knownHosts += 1)));
      const sendHeartbeat = heartbeatReports =>
        host.handlePeerRequest(
          {
            $case: 'fleet',
            value: {
              sequence: 1n,
              sender: {
                ...reportOf(0),
                host: sender.host,
                incarnation: sender.incarnation,
              },
              reports: heartbeatReports,
              receivedChange: 0,
            },
          },
          sender,
        );
      await sendHeartbeat(reports);
      const heap = heapBytes() - baselineBytes;
      const cost = await processorMicroseconds(500, () => sendHeartbeat([]));
      rows.push([target, heap, cost]);
    }
    return {
      heap: lineThrough(rows),
      replyMicroseconds: lineThrough(
        rows.map(([hosts, , cost]) => [hosts, cost]),
      ),
    };
  });
}

/**
 * Ownership requests that sweepers send to find abandoned attempts, by the number
 * of streams per host.
 */
export async function measureSweeps() {
  const rows = [];
  for (const streams of [2, 4, 8])
    rows.push(
      await withFleet({hosts: 9, upstreams: 8}, async fleet => {
        const completions = fleet.hosts.flatMap((_, host) =>
          Array.from({length: streams}, (_, index) =>
            fleet.complete(host, index, 50, 1200),
          ),
        );
        await fleet.clock.advance(3000);
        fleet.resetCounts();
        await fleet.clock.advance(15_000);
        const rates = fleet.rates('ownership', 15_000);
        await fleet.clock.runUntil(Promise.all(completions));
        return {streams, ...rates, runningReads: fleet.engineCalls.running};
      }),
    );
  return rows;
}
