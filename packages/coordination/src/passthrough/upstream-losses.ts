/**
 * Observes engines that go down during generations, and refuses generations
 * whose prompt has a part in quarantine.
 */

import type {RequestFailure} from '../requests/failure.js';
import {promptQuarantined} from './call-failures.js';
import type {GenerationState} from './generation-run.js';
import type {PassthroughParts} from './passthrough-parts.js';
import type {TrackedUpstream} from './upstream-table.js';

/**
 * Time for the probe of an engine after its connection failed. The machine of a
 * process that went down refuses connections at once.
 */
const probeTimeoutMilliseconds = 250;

/**
 * Engines lost at once, as a fraction of the engines of a pool and as a number,
 * that show another cause than a prompt: a network partition, or the loss of a
 * machine or a failure domain.
 */
const wideFailureFraction = 0.1;
const wideFailureEngines = 2;
const simultaneousMilliseconds = 100;

export class UpstreamLosses {
  /** Clock times at which connections failed, of the engines lost last. */
  private readonly lostAt = new Map<string, number>();

  constructor(private readonly parts: PassthroughParts) {}

  /** Returns the refusal of a call whose prompt has a part in quarantine. */
  refusalOf({
    call,
    generation,
    possibleRuns,
  }: GenerationState): RequestFailure | undefined {
    const {quarantine, observer} = this.parts;
    const found = quarantine.findQuarantined(generation.promptParts);
    if (found === undefined) return undefined;
    const {part, remainingMilliseconds} = found;
    observer(call.id, {
      kind: 'quarantine-refused',
      part,
      remaining: Math.round(remainingMilliseconds),
    });
    return promptQuarantined(
      remainingMilliseconds,
      possibleRuns === 0 ? 'not-run' : 'unknown',
    );
  }

  /** Records that an engine sent an event of a generation. */
  recordSuccess({generation}: GenerationState): void {
    this.parts.quarantine.recordSuccess(generation.promptParts);
  }

  /**
   * Records that the connection to an engine failed during a generation. If the
   * engine went down before its first event, the prompt is suspect unless all
   * its parts are known to be sound.
   */
  async record(state: GenerationState, engine: TrackedUpstream): Promise<void> {
    const {clock, quarantine, observer} = this.parts;
    const {call, attemptEvents} = state;
    const {promptParts} = state.generation;
    const {document} = engine;
    observer(call.id, {
      kind: 'connection-lost',
      upstream: document.name,
      events: attemptEvents,
      parts: promptParts
        .slice(0, -1)
        .map(({id}) => id)
        .join(' '),
      fingerprint: call.fingerprint,
    });
    this.recordLostConnection(document.name);
    if (attemptEvents > 0) return;
    // A single connection can fail while the engine goes on.
    if (!(await this.isDown(engine))) return;
    engine.health.recordUnreachable(clock.now());
    if (quarantine.isExplained(document, promptParts)) return;
    state.isSuspect =
      !quarantine.isKnownSound(promptParts) && !this.isWideFailure(state);
    quarantine.recordLoss(document, promptParts);
  }

  private recordLostConnection(upstream: string): void {
    const now = this.parts.clock.now();
    for (const [name, at] of this.lostAt)
      if (at < now - simultaneousMilliseconds) this.lostAt.delete(name);
    this.lostAt.set(upstream, now);
  }

  /** Whether many engines were lost at the same time as the last one. */
  private isWideFailure({pool}: GenerationState): boolean {
    const engineCount = this.parts.upstreams.acceptingOf(pool).length;
    return (
      this.lostAt.size >=
      Math.max(wideFailureEngines, engineCount * wideFailureFraction)
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
