/** Metrics of the time that calls lie unread before a host reads them. */

import type {ProcessorRefusal} from '@persimmonwick/coordination';
import {Counter, Histogram} from 'prom-client';
import type {Registry} from 'prom-client';

const millisecondsPerSecond = 1000;

/** Up to the deadlines of usual callers. */
const unreadBucketsSeconds = [0.005, 0.02, 0.1, 0.25, 0.5, 1, 2, 4, 8];

export class CallReadMetrics {
  private readonly unreadTimes = new Histogram({
    name: 'persimmonwick_call_unread_seconds',
    help: 'Longest time for which calls can have lain unread when they were read',
    buckets: unreadBucketsSeconds,
    registers: [],
  });
  private readonly lateCalls = new Counter({
    name: 'persimmonwick_late_calls_total',
    help: 'Calls that began late after they can have arrived, or were refused for it',
    labelNames: ['outcome'],
    registers: [],
  });

  registerAt(registry: Registry): void {
    registry.registerMetric(this.unreadTimes);
    registry.registerMetric(this.lateCalls);
  }

  recordUnread(milliseconds: number): void {
    this.unreadTimes.observe(milliseconds / millisecondsPerSecond);
  }

  recordLateCall(outcome: 'begun' | ProcessorRefusal): void {
    this.lateCalls.inc({outcome});
  }
}
