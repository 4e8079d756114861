/**
 * Attempts that go on with a completion in place of one without progress. They
 * run beside it until their first token, because until then they may fail while
 * it goes on.
 */

import type {UpstreamError} from '../upstreams/engine.js';
import {AbortScope} from './abort-scope.js';
import type {AttemptAdmission} from './attempt-admission.js';
import type {CompletionOrigin} from './completion-origin.js';
import type {Placement} from './placement.js';

/** A token that the caller has not received yet. */
export interface AttemptToken {
  readonly offset: number;
  readonly text: string;
  /** What wrote the token. */
  readonly origin: CompletionOrigin;
}

/** Outcome of an attempt. */
export type AttemptResult =
  | {readonly kind: 'complete'}
  | {readonly kind: 'failed'; readonly error: UpstreamError}
  /** Given up for `next`. */
  | {
      readonly kind: 'replaced';
      readonly error: UpstreamError;
      readonly next: NextAttempt;
    };

export type AttemptTokens = AsyncGenerator<AttemptToken, AttemptResult>;

export interface NextAttempt {
  /** Yields the tokens from the first missing one on. Called at most once. */
  run(): AttemptTokens;
  /** Ends an attempt that is not run. */
  close(): void;
}

/**
 * Resolves with undefined if no further attempt can be made now. Aborting `signal`
 * ends the search, and the attempt once it is found.
 */
export type FindNextAttempt = (
  signal: AbortSignal,
) => Promise<NextAttempt | undefined>;

/**
 * Finds what goes on in place of an attempt. It is ended with the search and, once it
 * is found, when `signal` is aborted.
 */
export async function findBeside(
  findNext: FindNextAttempt,
  searchSignal: AbortSignal,
  signal: AbortSignal,
): Promise<NextAttempt | undefined> {
  const scope = new AbortScope(signal);
  searchSignal.addEventListener('abort', () => scope.close(), {once: true});
  const next = await findNext(scope.signal);
  if (next !== undefined && !scope.signal.aborted) return next;
  next?.close();
  scope.close();
  return undefined;
}

export interface NextAttemptsParts {
  readonly admission: AttemptAdmission;
  /**
   * Runs an attempt on its reserved engines, which `findNext` replaces if it makes
   * no progress.
   */
  readonly run: (
    placement: Placement,
    findNext: FindNextAttempt,
    signal: AbortSignal,
  ) => AttemptTokens;
}

export class NextAttempts {
  constructor(private readonly parts: NextAttemptsParts) {}

  /** The attempt on `placement`, whose caller waits for its tokens. */
  onPlacement(placement: Placement, signal: AbortSignal): NextAttempt {
    return {
      run: () => this.parts.run(placement, this.findStarted, signal),
      close: () => placement.close(),
    };
  }

  /** Finds an attempt that has its first token. */
  private readonly findStarted: FindNextAttempt = async signal => {
    let isTaken = false;
    // An attempt that nothing depends on yet needs no further one beside it.
    const findNext: FindNextAttempt = nextSignal =>
      isTaken
        ? this.findStarted(nextSignal)
        : this.findReserved(findNext, nextSignal);
    let next = await this.findReserved(findNext, signal);
    while (next !== undefined) {
      const tokens = next.run();
      const item = await tokens.next();
      if (item.done !== true)
        return {
          run() {
            isTaken = true;
            return prepend(item.value, tokens);
          },
          close: () => void tokens.return({kind: 'complete'}),
        };
      next = item.value.kind === 'replaced' ? item.value.next : undefined;
    }
    return undefined;
  };

  /** Finds engines and a retry, both of which are set aside. */
  private async findReserved(
    findNext: FindNextAttempt,
    signal: AbortSignal,
  ): Promise<NextAttempt | undefined> {
    const {admission, run} = this.parts;
    const placement = await admission.findReplacement(signal);
    return (
      placement && {
        run() {
          admission.useReplacement(placement);
          return run(placement, findNext, signal);
        },
        close: () => admission.releaseReplacement(placement),
      }
    );
  }
}

async function* prepend(
  first: AttemptToken,
  tokens: AttemptTokens,
): AttemptTokens {
  try {
    yield first;
    return yield* tokens;
  } finally {
    await tokens.return({kind: 'complete'});
  }
}
