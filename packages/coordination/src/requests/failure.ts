/** Request failures as reported to callers. */

/** Whether a failed request ran. `not-run` guarantees that it never will. */
export type ExecutionState = 'not-run' | 'ran' | 'unknown';

/** Stable failure codes, documented in docs/ERRORS.md. */
export type FailureCode =
  | 'invalid-request'
  | 'missing-key'
  | 'unknown-key'
  | 'key-withdrawn'
  | 'route-forbidden'
  | 'route-not-found'
  | 'model-not-found'
  | 'idempotency-key-missing'
  | 'idempotency-key-reused'
  | 'idempotency-key-in-use'
  | 'claim-unavailable'
  | 'outcome-unknown'
  | 'body-too-large'
  | 'headers-too-large'
  | 'request-timeout'
  | 'rate-exceeded'
  | 'queue-full'
  | 'memory-short'
  | 'processor-short'
  | 'target-unreachable'
  | 'no-upstream'
  | 'prompt-quarantined'
  | 'request-quarantined'
  | 'stream-not-resumable'
  | 'upstream-failed'
  | 'upstream-timeout'
  | 'caller-gone'
  | 'connection-closed'
  | 'draining'
  | 'not-ready'
  | 'internal';

/** A failure as reported to the caller; the last event of a failed stream. */
export interface RequestFailure {
  readonly code: FailureCode;
  /**
   * One sentence for the caller, without any key, prompt or response content.
   */
  readonly message: string;
  readonly ran: ExecutionState;
  /** Interval after which the caller should retry. */
  readonly retryAfterMilliseconds?: number;
  /** Whether an upstream may have received the call, which it then rejected. */
  readonly wasSent?: boolean;
}

/** HTTP status code of a failure. */
export function httpStatusOf(code: FailureCode): number {
  switch (code) {
    case 'invalid-request':
    case 'idempotency-key-missing':
      return 400;
    case 'missing-key':
    case 'unknown-key':
    case 'key-withdrawn':
      return 401;
    case 'route-forbidden':
      return 403;
    case 'route-not-found':
    case 'model-not-found':
      return 404;
    case 'idempotency-key-reused':
    case 'idempotency-key-in-use':
    case 'outcome-unknown':
      return 409;
    case 'request-timeout':
      return 408;
    case 'body-too-large':
      return 413;
    case 'headers-too-large':
      return 431;
    case 'rate-exceeded':
      return 429;
    case 'caller-gone':
      return 499;
    case 'connection-closed':
      return 444;
    case 'internal':
      return 500;
    case 'upstream-failed':
      return 502;
    case 'queue-full':
    case 'memory-short':
    case 'processor-short':
    case 'target-unreachable':
    case 'no-upstream':
    case 'prompt-quarantined':
    case 'request-quarantined':
    case 'stream-not-resumable':
    case 'claim-unavailable':
    case 'draining':
    case 'not-ready':
      return 503;
    case 'upstream-timeout':
      return 504;
  }
}
