/** Grants memory for the bodies of requests, out of one budget for all callers. */

import type {Clock} from '../clock.js';
import {
  canGrant,
  chooseStalled,
  isWaitOver,
  nextGrantOf,
  sizeOf,
  smallGrantBytes,
} from '../decisions/request-memory.js';
import type {
  BodySize,
  GrantedTotal,
  OpenBody,
} from '../decisions/request-memory.js';

/** Time between two checks of the bodies that are not complete. */
const checkMilliseconds = 100;

/** Checks without a body that waits after which a shortage is over. */
const recoveredChecks = 10;

/** Why a body is not received to its end. */
export type BodyEnd =
  /** Memory for it was not free in time. */
  | 'no-memory'
  /** Others wait for memory, and it makes no progress. */
  | 'stalled'
  /** No byte of it has come for too long. */
  | 'silent'
  /** The deadline of its call has passed. */
  | 'late';

export type RequestMemoryEvent =
  /** Bodies wait for memory, or no longer. */
  | {readonly kind: 'shortage'; readonly isShort: boolean}
  | {
      readonly kind: 'ended';
      readonly requestId: string;
      readonly end: BodyEnd;
      readonly receivedBytes: number;
    };

/** What the bodies of requests hold together. */
export interface RequestTotal extends GrantedTotal {
  readonly bodies: number;
  readonly waiting: number;
}

export interface RequestMemoryParts {
  readonly clock: Clock;
  readonly budgetBytes: number;
  readonly onEvent?: (event: RequestMemoryEvent, total: RequestTotal) => void;
}

/** A body that is to be received. */
export interface BodyRequest {
  readonly requestId: string;
  /** The length of the body, or the largest that is accepted. */
  readonly largestBytes: number;
  readonly hasLength: boolean;
  /** Clock time after which no more of it is received. */
  readonly deadline: number;
  /** Time without a byte after which no more of it is received. */
  readonly silenceMilliseconds: number;
  /** Called when a body that has waited may be received. */
  readonly onGrant: () => void;
  /** Called at most once, unless the body is complete or closed before. */
  readonly onEnd: (end: BodyEnd) => void;
}

/** The memory of one body. */
export class HeldBody implements OpenBody {
  /** Bytes that are set aside for it, whether received or not. */
  grantedBytes = 0;
  receivedBytes = 0;
  /** Whether it needs more memory than it was granted. */
  isWaiting = false;
  idleChecks = 0;
  /** Checks since the last byte. */
  silentChecks = 0;
  progressAt: number;
  private progressBytes = 0;

  constructor(
    readonly request: BodyRequest,
    private readonly memory: RequestMemory,
    private readonly clock: Clock,
  ) {
    this.progressAt = clock.now();
  }

  /** Bytes that may be received before more memory is granted. */
  get allowedBytes(): number {
    const {isWaiting, grantedBytes, receivedBytes} = this;
    return isWaiting ? 0 : Math.max(0, grantedBytes - receivedBytes);
  }

  /** Records that `bytes` more were received. */
  receive(bytes: number): void {
    this.receivedBytes += bytes;
    this.silentChecks = 0;
    if (this.receivedBytes - this.progressBytes >= smallGrantBytes)
      this.recordProgress();
    this.memory.grantNext(this);
  }

  /** Records that the body was received to its end. */
  complete(): void {
    this.memory.complete(this);
  }

  /** Ends the count. */
  close(): void {
    this.memory.remove(this);
  }

  recordProgress(): void {
    this.progressBytes = this.receivedBytes;
    this.progressAt = this.clock.now();
    this.idleChecks = 0;
  }
}

export class RequestMemory {
  /** Bodies that are not complete, in the order of their calls. */
  private readonly open = new Set<HeldBody>();
  private readonly completed = new Set<HeldBody>();
  /** Bodies that need more memory, in the order in which they began to wait. */
  private readonly waiting = new Set<HeldBody>();
  private readonly grantedBytes = {small: 0, large: 0};
  private isChecking = false;
  private isShort = false;
  private checksWithoutWait = 0;

  constructor(private readonly parts: RequestMemoryParts) {}

  /** Bytes that are set aside for bodies. */
  get heldBytes(): number {
    return this.grantedBytes.small + this.grantedBytes.large;
  }

  /** Counts a body until it is closed or `signal` is aborted. */
  hold(request: BodyRequest, signal: AbortSignal): HeldBody {
    const body = new HeldBody(request, this, this.parts.clock);
    if (signal.aborted) return body;
    signal.addEventListener('abort', () => body.close(), {once: true});
    this.open.add(body);
    this.grantNext(body);
    if (!this.isChecking) void this.checkWhileOpen();
    return body;
  }

  /** Grants more memory to a body that has used its own, or makes it wait. */
  grantNext(body: HeldBody): void {
    const {grantedBytes, receivedBytes, request} = body;
    const isUsed = receivedBytes >= grantedBytes;
    if (!isUsed || grantedBytes >= request.largestBytes) return;
    if (!this.open.has(body) || body.isWaiting) return;
    const nextSize = sizeOf(this.nextGrantOf(body));
    if (this.firstWaiting(nextSize) === undefined && this.tryGrant(body))
      return;
    body.isWaiting = true;
    body.idleChecks = 0;
    this.waiting.add(body);
    this.setShort(true);
  }

  complete(body: HeldBody): void {
    if (!this.open.delete(body)) return;
    this.waiting.delete(body);
    this.completed.add(body);
    this.setGrant(body, body.receivedBytes);
    this.grantWaiting();
  }

  remove(body: HeldBody): void {
    const isOpen = this.open.delete(body);
    if (!isOpen && !this.completed.delete(body)) return;
    this.waiting.delete(body);
    this.setGrant(body, 0);
    this.grantWaiting();
  }

  private get total(): RequestTotal {
    const {open, completed, waiting, parts, grantedBytes} = this;
    return {
      budgetBytes: parts.budgetBytes,
      smallBytes: grantedBytes.small,
      largeBytes: grantedBytes.large,
      bodies: open.size + completed.size,
      waiting: waiting.size,
    };
  }

  private nextGrantOf({grantedBytes, request}: HeldBody): number {
    return nextGrantOf({...request, grantedBytes});
  }

  private tryGrant(body: HeldBody): boolean {
    const next = this.nextGrantOf(body);
    if (!canGrant(this.total, body.grantedBytes, next)) return false;
    this.setGrant(body, next);
    return true;
  }

  private setGrant(body: HeldBody, bytes: number): void {
    this.grantedBytes[sizeOf(body.grantedBytes)] -= body.grantedBytes;
    this.grantedBytes[sizeOf(bytes)] += bytes;
    body.grantedBytes = bytes;
  }

  private grantWaiting(): void {
    this.grantWaitingOf('small');
    this.grantWaitingOf('large');
  }

  private grantWaitingOf(nextSize: BodySize): void {
    for (;;) {
      const body = this.firstWaiting(nextSize);
      if (body === undefined || !this.tryGrant(body)) return;
      this.waiting.delete(body);
      body.isWaiting = false;
      body.silentChecks = 0;
      body.recordProgress();
      body.request.onGrant();
    }
  }

  /** The body that has waited longest for a small or a large grant. */
  private firstWaiting(nextSize: BodySize): HeldBody | undefined {
    for (const body of this.waiting)
      if (sizeOf(this.nextGrantOf(body)) === nextSize) return body;
    return undefined;
  }

  private async checkWhileOpen(): Promise<void> {
    this.isChecking = true;
    while (this.open.size > 0) {
      await this.parts.clock.sleep(checkMilliseconds);
      this.check();
    }
    this.isChecking = false;
  }

  /**
   * Times are counted in checks, between which sockets are read: a pause of the
   * process is no silence of its callers.
   */
  private check(): void {
    const now = this.parts.clock.now();
    for (const body of [...this.open]) {
      const {deadline, silenceMilliseconds} = body.request;
      body.idleChecks += 1;
      if (!body.isWaiting) body.silentChecks += 1;
      const silence = body.silentChecks * checkMilliseconds;
      if (now >= deadline) this.end(body, 'late');
      else if (silence >= silenceMilliseconds) this.end(body, 'silent');
    }
    this.makeRoom('small');
    this.makeRoom('large');
    this.checksWithoutWait =
      this.waiting.size > 0 ? 0 : this.checksWithoutWait + 1;
    if (this.open.size === 0 || this.checksWithoutWait >= recoveredChecks)
      this.setShort(false);
  }

  /** Gives bodies up while the one that has waited longest can't be granted. */
  private makeRoom(size: BodySize): void {
    for (;;) {
      const first = this.firstWaiting(size);
      if (first === undefined) return;
      const stalled = chooseStalled(this.receiving(size));
      if (stalled !== undefined) this.end(stalled, 'stalled');
      else if (isWaitOver(first)) this.end(first, 'no-memory');
      else return;
    }
  }

  private receiving(size: BodySize): HeldBody[] {
    return [...this.open].filter(
      ({isWaiting, grantedBytes}) =>
        !isWaiting && sizeOf(grantedBytes) === size,
    );
  }

  private end(body: HeldBody, end: BodyEnd): void {
    const {receivedBytes, request} = body;
    const {requestId, onEnd} = request;
    const event = {kind: 'ended', requestId, end, receivedBytes} as const;
    this.parts.onEvent?.(event, this.total);
    this.remove(body);
    onEnd(end);
  }

  private setShort(isShort: boolean): void {
    this.checksWithoutWait = 0;
    if (this.isShort === isShort) return;
    this.isShort = isShort;
    this.parts.onEvent?.({kind: 'shortage', isShort}, this.total);
  }
}
