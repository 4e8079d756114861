/** Reads the body of a call. */

import type {IncomingMessage} from 'node:http';
import {cancellationFailureOf} from '@persimmonwick/coordination';
import type {
  BodyEnd,
  HeldBody,
  RequestFailure,
  RequestMemory,
} from '@persimmonwick/coordination';
import {Result} from 'true-myth';
import type {CallerConnection} from './caller-connection.js';

export interface BodyReaderParts {
  readonly memory: RequestMemory;
  readonly connection: CallerConnection;
  readonly requestId: string;
  readonly maximumBytes: number;
  /** Clock time after which the body is of no use. */
  readonly deadline: number;
  /** Time without a byte after which the call is refused. */
  readonly silenceMilliseconds: number;
  /** Aborted when the call has ended, with the reason; until then its body is counted. */
  readonly ended: AbortSignal;
}

type ReceivedBody = Result<Uint8Array, RequestFailure>;

const noBytes = new Uint8Array(0);

/** Memory that is taken first for a body without a length, in bytes. */
const firstCapacityBytes = 512;

/** Growth of the memory that is taken for such a body. */
const growthFactor = 4;

/**
 * Reads a body of at most `maximumBytes` as far as there is memory for it. Discards
 * the rest of one that is refused, so that its caller can read the response behind its
 * upload.
 */
export class BodyReader {
  /** Never rejects. */
  readonly body: Promise<ReceivedBody>;
  private resolve: (body: ReceivedBody) => void = () => undefined;
  private bytes: Uint8Array = noBytes;
  private size = 0;
  private held: HeldBody | undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly parts: BodyReaderParts,
  ) {
    this.body = new Promise(resolve => (this.resolve = resolve));
    this.start();
  }

  /** Reads no more of the body, unless it was received. */
  refuse(failure: RequestFailure): void {
    this.held?.close();
    this.finish(Result.err(failure));
    this.request.resume();
  }

  private start(): void {
    const {request, parts} = this;
    const {ended, maximumBytes} = parts;
    const length = this.declaredBytes;
    if (ended.aborted || request.destroyed) return this.onCancelled();
    if ((length ?? 0) > maximumBytes)
      return this.refuse(bodyTooLarge(maximumBytes));
    const isEmpty = (length ?? 0) === 0 && !isChunked(request);
    if (!isEmpty) this.hold(length);
    request.once('end', this.onEnd);
    request.once('error', this.onCancelled);
    request.once('close', this.onCancelled);
    request.on('data', this.onData);
  }

  private get declaredBytes(): number | undefined {
    const length = this.request.headers['content-length'];
    return length === undefined ? undefined : Number(length);
  }

  private hold(length: number | undefined): void {
    const {memory, connection, requestId, maximumBytes} = this.parts;
    const {deadline, silenceMilliseconds, ended} = this.parts;
    this.held = memory.hold(
      {
        requestId,
        hasLength: length !== undefined,
        largestBytes: length ?? maximumBytes,
        deadline,
        silenceMilliseconds,
        onGrant: () => connection.continueBody(),
        onEnd: end => this.refuse(failureOfBodyEnd(end)),
      },
      ended,
    );
    ended.addEventListener('abort', this.onCancelled);
    connection.startBody(this.held);
  }

  private readonly onData = (part: Buffer): void => {
    const {maximumBytes} = this.parts;
    const size = this.size + part.length;
    if (size > maximumBytes) return this.refuse(bodyTooLarge(maximumBytes));
    // Many bodies come in one part, which the HTTP parser has copied already.
    if (this.size === 0) this.bytes = part;
    else this.append(part, size);
    this.size = size;
    this.held?.receive(part.length);
  };

  private append(part: Buffer, size: number): void {
    if (size > this.bytes.length) {
      const bytes = Buffer.allocUnsafeSlow(this.capacityFor(size));
      bytes.set(this.bytes.subarray(0, this.size));
      this.bytes = bytes;
    }
    this.bytes.set(part, this.size);
  }

  private capacityFor(size: number): number {
    const granted = this.held?.grantedBytes ?? 0;
    const wanted =
      this.declaredBytes === undefined
        ? Math.max(firstCapacityBytes, size * growthFactor)
        : granted;
    return Math.max(size, Math.min(granted, wanted));
  }

  private readonly onEnd = (): void => {
    this.held?.complete();
    this.finish(Result.ok(this.bytes.subarray(0, this.size)));
  };

  private readonly onCancelled = (): void =>
    this.refuse(cancellationFailureOf(this.parts.ended, 'not-run'));

  private finish(body: ReceivedBody): void {
    const {request, held} = this;
    const {connection, ended} = this.parts;
    request.off('end', this.onEnd);
    request.off('error', this.onCancelled);
    request.off('close', this.onCancelled);
    request.off('data', this.onData);
    ended.removeEventListener('abort', this.onCancelled);
    this.bytes = noBytes;
    if (held !== undefined) connection.endBody(held);
    this.resolve(body);
  }
}

function isChunked({headers}: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined;
}

function bodyTooLarge(maximumBytes: number): RequestFailure {
  return {
    code: 'body-too-large',
    message: `the body exceeds ${maximumBytes} bytes`,
    ran: 'not-run',
  };
}

/** Failure of a call whose body is not received to its end. */
function failureOfBodyEnd(end: BodyEnd): RequestFailure {
  switch (end) {
    case 'no-memory':
      return {
        code: 'memory-short',
        message: 'the host has no memory for the body of the request',
        ran: 'not-run',
        retryAfterMilliseconds: 1000,
      };
    case 'stalled':
    case 'silent':
    case 'late':
      return {
        code: 'request-timeout',
        message: 'the body of the request was not received in time',
        ran: 'not-run',
      };
  }
}
