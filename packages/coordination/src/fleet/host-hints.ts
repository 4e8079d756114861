/** The platform's list of live and leaving hosts, which lags. */

import type {HostId, Incarnation} from '../ids.js';

/** One host as the platform lists it. */
export interface HostHint {
  readonly host: HostId;
  readonly state: 'live' | 'leaving';
}

export class HostHints {
  /** Leaving hosts with the process that was known when the hint came. */
  private leaving = new Map<HostId, Incarnation | undefined>();

  constructor(
    private readonly incarnationOf: (host: HostId) => Incarnation | undefined,
  ) {}

  /** Takes a newer list. */
  replace(hints: readonly HostHint[]): void {
    const next = new Map<HostId, Incarnation | undefined>();
    for (const {host, state} of hints) {
      if (state !== 'leaving') continue;
      next.set(
        host,
        this.leaving.has(host)
          ? this.leaving.get(host)
          : this.incarnationOf(host),
      );
    }
    this.leaving = next;
  }

  /** True while the process that was to leave has not been replaced. */
  isLeaving(host: HostId): boolean {
    return (
      this.leaving.has(host) &&
      this.leaving.get(host) === this.incarnationOf(host)
    );
  }
}
