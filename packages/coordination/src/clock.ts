/** The clock abstraction of the library. Tests substitute a virtual clock. */

/** A source of time. Clock readings are never compared between hosts. */
export interface Clock {
  /**
   * Milliseconds on a monotonic clock, which also advances while the process
   * is paused.
   */
  now(): number;
  /** Milliseconds since the Unix epoch. This clock can jump. */
  wallNow(): number;
  /**
   * Resolves after `milliseconds`, or immediately when `signal` is aborted.
   * Never rejects: the caller checks its signal.
   */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

/** Timers fire at once if they are set to more. */
const maximumTimerMilliseconds = 2 ** 31 - 1;

/** The clock of the process, based on `performance.now` and timers. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
  sleep(milliseconds, signal) {
    if (signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(
        finish,
        Math.min(milliseconds, maximumTimerMilliseconds),
      );
      signal?.addEventListener('abort', finish);
    });
  },
};
