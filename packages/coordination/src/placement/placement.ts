/** A pair of engines set aside for one attempt. */

import type {Clock} from '../clock.js';
import type {EngineState, SlotReservation} from './engine-state.js';

/** Figures that a choice was made on. */
export interface PlacementEstimate {
  readonly prefillMilliseconds: number;
  readonly transferMilliseconds: number;
}

/** Holds the reservations of one attempt until it is closed. */
export class Placement {
  private slot: SlotReservation;
  private isPrefillCounted = true;

  constructor(
    private readonly clock: Clock,
    readonly prefill: EngineState,
    private decodeState: EngineState,
    readonly estimate: PlacementEstimate,
    private readonly decodeMilliseconds: number,
    private readonly onRelease: () => void,
  ) {
    const importAt =
      clock.now() +
      estimate.prefillMilliseconds +
      estimate.transferMilliseconds;
    this.slot = decodeState.reserveSlot(importAt + decodeMilliseconds);
  }

  get decode(): EngineState {
    return this.decodeState;
  }

  /** Notes that the prefill is over. */
  endPrefill(): void {
    if (!this.isPrefillCounted) return;
    this.isPrefillCounted = false;
    this.prefill.endPrefill();
    this.onRelease();
  }

  /** Notes that the decode engine counts the slot from now on. */
  startImport(): void {
    this.slot.visibleAt ??= this.clock.now();
    this.slot.expectedEnd = this.clock.now() + this.decodeMilliseconds;
  }

  /** Corrects the expected end by what is left to decode. */
  recordProgress(remainingMilliseconds: number): void {
    this.slot.expectedEnd = this.clock.now() + remainingMilliseconds;
  }

  /** Gives the slot back and takes one at `decode`. */
  moveTo(decode: EngineState): void {
    this.decodeState.releaseSlot(this.slot, this.clock.now());
    this.decodeState = decode;
    this.slot = decode.reserveSlot(this.clock.now() + this.decodeMilliseconds);
    this.onRelease();
  }

  /** Gives everything back; idempotent. */
  close(): void {
    this.endPrefill();
    this.decodeState.releaseSlot(this.slot, this.clock.now());
    this.onRelease();
  }
}
