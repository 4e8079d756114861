/**
 * Limits that upstreams name in their responses: the requests a second that an
 * upstream takes from all hosts together.
 */

import type {Clock} from '../clock.js';
import type {UpstreamDocument} from '../generated/documents.js';
import {BoundedMap} from './bounded-map.js';

/** An upstream named, changed or no longer names a limit. */
export interface RequestLimitChange {
  readonly upstream: string;
  /** Undefined if there is no limit any more. */
  readonly requestsPerSecond: number | undefined;
  readonly source: 'self' | 'peer';
  /** Age of the response. */
  readonly ageMilliseconds: number;
}

export interface UpstreamRequestLimitsParts {
  readonly clock: Clock;
  readonly onChange: (change: RequestLimitChange) => void;
}

/** Upstreams that are remembered; beyond it the oldest are forgotten. */
const maximumUpstreams = 4096;

interface LimitedUpstream {
  /** Start of the process, in Unix milliseconds; 0 if it is not published. */
  readonly startedAt: number;
  requestsPerSecond: number | undefined;
}

export class UpstreamRequestLimits {
  private readonly upstreams = new BoundedMap<string, LimitedUpstream>(
    maximumUpstreams,
  );

  constructor(private readonly parts: UpstreamRequestLimitsParts) {}

  /** Records what a response of the process of `document` says. */
  recordStatement(
    {name, spec}: UpstreamDocument,
    requestsPerSecond: number | undefined,
  ): void {
    const {startedAt = 0} = spec;
    const known = this.upstreams.get(name);
    const current = known?.startedAt === startedAt ? known : undefined;
    if (current?.requestsPerSecond === requestsPerSecond) return;
    this.upstreams.set(name, {startedAt, requestsPerSecond});
    this.parts.onChange({
      upstream: name,
      requestsPerSecond,
      source: 'self',
      ageMilliseconds: 0,
    });
  }
}
