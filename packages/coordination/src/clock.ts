/** Time as the library sees it, so that tests run on virtual time. */

/** A source of time. Hosts never compare their clocks. */
export interface Clock {
  /** Milliseconds on a clock that only goes forward, also through a pause. */
  now(): number;
  /** Milliseconds since the Unix epoch; may jump. */
  wallNow(): number;
  /**
   * Resolves after `milliseconds`, or at once when `signal` is aborted.
   * Rejects never: the caller looks at its signal.
   */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the process. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
  sleep(milliseconds, signal) {
    if (signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const end = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', end);
        resolve();
      };
      const timer = setTimeout(end, milliseconds);
      signal?.addEventListener('abort', end);
    });
  },
};
