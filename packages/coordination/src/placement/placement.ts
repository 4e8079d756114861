/** The engines reserved for one attempt. */

import type {Clock} from '../clock.js';
import type {EngineState, SlotReservation} from './engine-state.js';

/** Estimated durations of a placement. */
export interface PlacementEstimate {
  readonly prefillMilliseconds: number;
  readonly transferMilliseconds: number;
}

/** Holds the reservations of one attempt until `close` is called. */
export class Placement {
  private slot: SlotReservation;
  private isDecodeReserved = true;
  private isPrefillReserved = true;

  constructor(
    private readonly clock: Clock,
    readonly prefill: EngineState,
    private decodeState: EngineState,
    readonly estimate: PlacementEstimate,
    private readonly decodeMilliseconds: number,
    private readonly onRelease: () => void,
  ) {
    const decodeStartAt =
      clock.now() +
      estimate.prefillMilliseconds +
      estimate.transferMilliseconds;
    this.slot = decodeState.reserveSlot(decodeStartAt + decodeMilliseconds);
  }

  get decode(): EngineState {
    return this.decodeState;
  }

  /** Releases the prefill engine. */
  releasePrefill(): void {
    if (!this.isPrefillReserved) return;
    this.isPrefillReserved = false;
    this.prefill.releasePrefill();
    this.onRelease();
  }

  /**
   * Records the start of the transfer. The engine counts the slot from now on,
   * and its release is expected after the decode time.
   */
  startTransfer(): void {
    this.slot.countedSince ??= this.clock.now();
    this.slot.expectedReleaseAt = this.clock.now() + this.decodeMilliseconds;
  }

  /** Updates the expected release time from the remaining decode time. */
  recordProgress(remainingMilliseconds: number): void {
    this.slot.expectedReleaseAt = this.clock.now() + remainingMilliseconds;
  }

  /** Releases the current slot and reserves one at `decode`. */
  replaceDecode(decode: EngineState): void {
    this.decodeState.releaseSlot(this.slot, this.clock.now());
    this.decodeState = decode;
    this.slot = decode.reserveSlot(this.clock.now() + this.decodeMilliseconds);
    this.isDecodeReserved = true;
    this.onRelease();
  }

  /** Releases the slot at the decode engine while that engine is silent. */
  releaseDecode(): void {
    if (!this.isDecodeReserved) return;
    this.isDecodeReserved = false;
    this.decodeState.releaseSlot(this.slot, this.clock.now());
    this.onRelease();
  }

  /** Reserves the slot again, if it was released. */
  reserveDecode(): void {
    if (this.isDecodeReserved) return;
    this.isDecodeReserved = true;
    this.slot = this.decodeState.reserveSlot(
      this.clock.now() + this.decodeMilliseconds,
    );
  }

  /** Releases all reservations. Idempotent. */
  close(): void {
    this.releasePrefill();
    this.decodeState.releaseSlot(this.slot, this.clock.now());
    this.onRelease();
  }
}
