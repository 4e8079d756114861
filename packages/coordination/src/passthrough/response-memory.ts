/** Counts the bytes of responses that a process holds for all callers. */

import {
  chooseGivenUp,
  isMemoryRecovered,
  isMemoryShort,
  responseAllowanceOf,
} from '../decisions/response-memory.js';
import type {HeldTotal} from '../decisions/response-memory.js';
import type {UpstreamId} from '../ids.js';

export type ResponseMemoryEvent =
  /** Responses are read no further than their callers read, or again freely. */
  | {readonly kind: 'shortage'; readonly isShort: boolean}
  | {
      readonly kind: 'given-up';
      readonly upstream: UpstreamId;
      readonly incompleteBytes: number;
    };

export interface ResponseMemoryParts {
  readonly budgetBytes: number;
  readonly onEvent?: (event: ResponseMemoryEvent, total: HeldTotal) => void;
}

/** The bytes held for one response. */
export class HeldBytes {
  private bytes = 0;
  /** Bytes that can't be passed on until more have arrived. */
  incompleteBytes = 0;

  constructor(
    readonly upstream: UpstreamId,
    readonly giveUp: () => void,
    private readonly memory: ResponseMemory,
  ) {}

  /** Bytes that the response may hold before its caller reads on. */
  get allowance(): number {
    return this.memory.allowance;
  }

  /** Records that `bytes` more are held, or fewer if negative. */
  add(bytes: number): void {
    if (!this.memory.has(this)) return;
    this.bytes += bytes;
    this.memory.record(bytes);
  }

  setIncomplete(bytes: number): void {
    const added = bytes - this.incompleteBytes;
    if (added === 0) return;
    this.incompleteBytes = bytes;
    this.add(added);
  }

  /** Ends the count, and with it what was not recorded as read. */
  close(): void {
    this.add(-this.bytes);
    this.memory.remove(this);
  }
}

export class ResponseMemory {
  private readonly responses = new Set<HeldBytes>();
  private wasShort = false;
  heldBytes = 0;

  constructor(private readonly parts: ResponseMemoryParts) {}

  /**
   * Counts one response until `signal` is aborted or it is closed. `giveUp` ends
   * it as broken.
   */
  open(
    upstream: UpstreamId,
    signal: AbortSignal,
    giveUp: () => void,
  ): HeldBytes {
    const held = new HeldBytes(upstream, giveUp, this);
    if (signal.aborted) return held;
    this.responses.add(held);
    signal.addEventListener('abort', () => held.close(), {once: true});
    return held;
  }

  get allowance(): number {
    return responseAllowanceOf(this.total);
  }

  has(held: HeldBytes): boolean {
    return this.responses.has(held);
  }

  remove(held: HeldBytes): void {
    this.responses.delete(held);
  }

  record(bytes: number): void {
    this.heldBytes += bytes;
    const {total} = this;
    const isShort = isMemoryShort(total);
    const isChanged = this.wasShort ? isMemoryRecovered(total) : isShort;
    if (isChanged) {
      this.wasShort = isShort;
      this.parts.onEvent?.({kind: 'shortage', isShort}, total);
    }
    if (bytes <= 0 || !isShort) return;
    const worst = chooseGivenUp(total, this.responses);
    if (worst === undefined) return;
    const {upstream, incompleteBytes} = worst;
    this.parts.onEvent?.({kind: 'given-up', upstream, incompleteBytes}, total);
    worst.close();
    worst.giveUp();
  }

  private get total(): HeldTotal {
    const {budgetBytes} = this.parts;
    const responses = this.responses.size;
    return {budgetBytes, heldBytes: this.heldBytes, responses};
  }
}
