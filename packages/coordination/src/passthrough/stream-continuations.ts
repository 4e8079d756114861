/** Finds what may continue the streams that callers take up. */

import {Result} from 'true-myth';
import type {PoolDocument, UpstreamDocument} from '../generated/documents.js';
import {
  compareLaterEntry,
  compareStatedStart,
} from '../decisions/answering-process.js';
import type {ProcessFinding} from '../decisions/answering-process.js';
import type {RequestFailure} from '../requests/failure.js';
import {continuationRefused} from './call-failures.js';
import type {RoutedCall} from './call.js';
import type {GenerationState} from './generation-run.js';
import type {PassthroughParts} from './passthrough-parts.js';
import {decodeVersionsOf} from './reservation-queue.js';
import type {EngineReservation} from './reservation-queue.js';
import {decideContinuation} from './stream-continuation.js';
import type {SoleOrigin} from './stream-continuation.js';
import {streamKeyOf} from './stream-key.js';

/** What may run a generation. */
export interface GenerationTarget {
  readonly pool: PoolDocument;
  /** The only version that may run it; undefined if any may. */
  readonly softwareVersion: string | undefined;
}

/** Returns whether `call` takes up a stream of which its caller has events. */
export function isContinuation(call: RoutedCall): boolean {
  return call.originCallId !== undefined || (call.lastEventId ?? 0) > 0;
}

/**
 * Returns whether `call` takes up a stream of engines, but does not state what a
 * generation needs. Sent as a plain call, it would run at any version.
 */
export function isIncompleteContinuation(call: RoutedCall): boolean {
  return (
    call.generation === undefined &&
    isContinuation(call) &&
    call.route.pools.some(({pool}) => pool.spec.engine !== undefined)
  );
}

/** Reports and returns the refusal of an incomplete continuation. */
export function refuseIncomplete(
  {observer}: Pick<PassthroughParts, 'observer'>,
  call: RoutedCall,
): RequestFailure {
  observer(call.id, {
    kind: 'taken-up',
    origin: call.originCallId ?? '',
    afterEvent: call.lastEventId ?? 0,
    ...noOrigin,
    source: '',
    waited: 0,
    outcome: 'no-generation',
  });
  return continuationRefused('no-generation');
}

export class StreamContinuations {
  constructor(private readonly parts: PassthroughParts) {}

  /** Finds what may continue the stream that `call` takes up. */
  async find(
    call: RoutedCall,
  ): Promise<Result<GenerationTarget, RequestFailure>> {
    const {clock, upstreams, observer} = this.parts;
    const startedAt = clock.now();
    const known = await this.findOrigin(call);
    const decision = decideContinuation(call.route, known, pool =>
      decodeVersionsOf(upstreams, pool, call),
    );
    const {pool, softwareVersion} = known?.origin ?? noOrigin;
    observer(call.id, {
      kind: 'taken-up',
      origin: call.originCallId ?? '',
      afterEvent: call.lastEventId ?? 0,
      pool,
      softwareVersion,
      source: known?.source ?? '',
      waited: clock.now() - startedAt,
      outcome: decision.kind === 'continue' ? 'continued' : decision.reason,
    });
    return decision.kind === 'continue'
      ? Result.ok(decision)
      : Result.err(continuationRefused(decision.reason));
  }

  /**
   * Records that an engine is about to send the first event of a stream. `document`
   * is its entry as known when the attempt was sent.
   */
  recordBegin(
    state: GenerationState,
    document: UpstreamDocument,
    {statedStart}: EngineReservation,
  ): void {
    // A version that the stream requires has been verified before.
    const finding =
      state.softwareVersion === undefined
        ? this.compareProcess(document, statedStart)
        : 'same';
    state.softwareVersion ??= document.spec.softwareVersion ?? '';
    if (finding !== 'other')
      this.publish(state, finding === 'unknown' ? document : undefined);
    if (finding !== 'same')
      state.versionCheck = this.checkVersion(state, document, statedStart);
  }

  /**
   * The process that granted a reservation may have been replaced before the run.
   * While the list can't be read, its statement counts nevertheless.
   */
  private compareProcess(
    document: UpstreamDocument,
    statedStart: number | undefined,
  ): ProcessFinding {
    const finding = compareStatedStart(document, statedStart);
    const isListExpected =
      document.spec.startedAt !== undefined &&
      this.parts.versionHistory.isListRecent;
    return finding === 'same' && isListExpected ? 'unknown' : finding;
  }

  /** Decides by the next list which version began a stream. */
  private async checkVersion(
    state: GenerationState,
    document: UpstreamDocument,
    statedStart: number | undefined,
  ): Promise<void> {
    state.isVersionUncertain = true;
    const list = await this.parts.versionHistory.nextList();
    const later = list?.get(document.name);
    if (
      compareStatedStart(document, statedStart) === 'other' &&
      later !== undefined &&
      later.spec.startedAt === statedStart
    ) {
      state.softwareVersion = later.spec.softwareVersion ?? '';
      state.isVersionUncertain = false;
      this.publish(state);
      return;
    }
    if (
      compareStatedStart(document, statedStart) !== 'other' &&
      compareLaterEntry(document.spec, later) === 'same'
    ) {
      state.isVersionUncertain = false;
      return;
    }
    this.parts.observer(state.call.id, {
      kind: 'version-uncertain',
      upstream: document.name,
      softwareVersion: document.spec.softwareVersion ?? '',
      laterVersion: later?.spec.softwareVersion ?? '',
      reason:
        list === undefined
          ? 'no-list'
          : later === undefined
            ? 'not-listed'
            : 'other-process',
    });
  }

  private publish(
    {call, pool, softwareVersion}: GenerationState,
    unconfirmed?: UpstreamDocument,
  ): void {
    this.parts.streamOrigins.publish(
      streamKeyOf(call, call.originCallId ?? call.id),
      {
        pool: pool.name,
        softwareVersion: softwareVersion ?? '',
        unconfirmedUpstream: unconfirmed?.name ?? '',
        unconfirmedStartedAt: BigInt(unconfirmed?.spec.startedAt ?? 0),
      },
    );
  }

  private async findOrigin(call: RoutedCall): Promise<SoleOrigin | undefined> {
    const {streamOrigins, versionHistory} = this.parts;
    if (call.originCallId !== undefined) {
      const known = await streamOrigins.find(
        streamKeyOf(call, call.originCallId),
      );
      if (known !== undefined) return known;
    }
    // A route with several pools does not show which of them began the stream.
    const [first, ...others] = call.route.pools;
    if (first === undefined || others.length > 0) return undefined;
    const softwareVersion = await versionHistory.findSoleVersion(first.pool);
    return softwareVersion === undefined
      ? undefined
      : {
          origin: {pool: first.pool.name, softwareVersion},
          source: 'sole-version',
        };
  }
}

const noOrigin = {pool: '', softwareVersion: ''};
