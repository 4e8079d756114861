/**
 * Observes upstreams that go down during calls, and refuses calls that have a
 * trait in quarantine.
 */

import type {PoolDocument} from '../generated/documents.js';
import type {RequestFailure} from '../requests/failure.js';
import {
  promptQuarantined,
  requestQuarantined,
  upstreamFailed,
} from './call-failures.js';
import type {RoutedCall} from './call.js';
import {crashTraitsOf} from './crash-traits.js';
import type {PassthroughParts} from './passthrough-parts.js';
import type {TrackedUpstream} from './upstream-table.js';

/**
 * Time for the probe of an upstream after its connection failed. The machine of
 * a process that went down refuses connections at once.
 */
const probeTimeoutMilliseconds = 250;

/**
 * Upstreams lost at once, as a fraction of the upstreams of a pool and as a
 * number, that show another cause than a request: a network partition, or the
 * loss of a machine or a failure domain.
 */
const wideFailureFraction = 0.1;
const wideFailureUpstreams = 2;
const simultaneousMilliseconds = 100;

/** A call that was sent to an upstream. */
export interface AttemptedCall {
  readonly call: RoutedCall;
  readonly pool: PoolDocument;
  /** Events that the upstream of the current attempt has sent. */
  readonly attemptEvents: number;
  /** Attempts that may have run the call. */
  readonly possibleRuns: number;
  /**
   * Whether an upstream went down before it answered, and the call may be the
   * cause.
   */
  isSuspect: boolean;
}

export class UpstreamLosses {
  /** Clock times at which the upstreams that were lost last went down. */
  private readonly lostAt = new Map<string, number>();

  constructor(private readonly parts: PassthroughParts) {}

  /** Returns the refusal of a call that has a trait in quarantine. */
  refusalOf({
    call,
    possibleRuns,
  }: Pick<AttemptedCall, 'call' | 'possibleRuns'>): RequestFailure | undefined {
    const {quarantine, observer} = this.parts;
    if (quarantine.size === 0) return undefined;
    const found = quarantine.findQuarantined(crashTraitsOf(call));
    if (found === undefined) return undefined;
    const {trait, remainingMilliseconds} = found;
    observer(call.id, {
      kind: 'quarantine-refused',
      part: trait,
      remaining: Math.round(remainingMilliseconds),
    });
    // The status of a refusal promises that the call has not run.
    if (possibleRuns > 0) return upstreamFailed;
    return trait === call.fingerprint
      ? requestQuarantined(remainingMilliseconds)
      : promptQuarantined(remainingMilliseconds);
  }

  isQuarantined(call: RoutedCall): boolean {
    const {quarantine} = this.parts;
    return quarantine.findQuarantined(crashTraitsOf(call)) !== undefined;
  }

  /** Records that an upstream answered a call. */
  recordSuccess({call}: Pick<AttemptedCall, 'call'>): void {
    this.parts.quarantine.recordSuccess(crashTraitsOf(call));
  }

  /**
   * Records that the connection to an upstream failed during a call. If the
   * upstream went down before it answered, and few others did at that time, the
   * call is suspect unless all its traits are known to be sound.
   */
  async record(lost: AttemptedCall, upstream: TrackedUpstream): Promise<void> {
    const {clock, quarantine, observer} = this.parts;
    const {call, attemptEvents} = lost;
    const {document} = upstream;
    const {generation, fingerprint} = call;
    const promptParts = generation?.promptParts ?? [];
    observer(call.id, {
      kind: 'connection-lost',
      upstream: document.name,
      events: attemptEvents,
      parts: promptParts
        .slice(0, -1)
        .map(({id}) => id)
        .join(' '),
      fingerprint,
    });
    // Upstreams of an evacuated domain may be stopped at any time.
    if (this.parts.upstreams.isEvacuated(document)) return;
    // A single connection can fail while the upstream goes on.
    if (!(await this.isDown(upstream))) return;
    upstream.health.recordUnreachable(clock.now());
    this.recordLostUpstream(document.name);
    if (attemptEvents > 0) return;
    const traits = crashTraitsOf(call);
    if (quarantine.isExplained(document, traits)) return;
    if (this.isWideFailure(lost.pool)) return;
    lost.isSuspect = !quarantine.isKnownSound(traits);
    quarantine.recordLoss(document, traits);
  }

  private recordLostUpstream(upstream: string): void {
    const now = this.parts.clock.now();
    for (const [name, at] of this.lostAt)
      if (at < now - simultaneousMilliseconds) this.lostAt.delete(name);
    this.lostAt.set(upstream, now);
  }

  /** Whether many upstreams were lost at the same time as the last one. */
  private isWideFailure(pool: PoolDocument): boolean {
    const upstreamCount = this.parts.upstreams.acceptingOf(pool).length;
    return (
      this.lostAt.size >=
      Math.max(wideFailureUpstreams, upstreamCount * wideFailureFraction)
    );
  }

  private async isDown({document}: TrackedUpstream): Promise<boolean> {
    const {clock, transport} = this.parts;
    const timeout = new AbortController();
    const hasAnswered = await Promise.race([
      transport.probe(document, timeout.signal).then(isUp => !isUp),
      clock.sleep(probeTimeoutMilliseconds).then(() => false),
    ]);
    timeout.abort();
    return hasAnswered;
  }
}
