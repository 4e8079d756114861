/** Cancellable waiting for promises. */

/**
 * Resolves with the value of `promise`, or with undefined when `signal` aborts
 * first. The listener on `signal` is always removed, because the signal can
 * live as long as the process.
 */
export function untilAborted<Value>(
  promise: Promise<Value>,
  signal: AbortSignal,
): Promise<Value | undefined> {
  if (signal.aborted) return Promise.resolve(undefined);
  return new Promise((resolve, reject) => {
    const onAbort = () => resolve(undefined);
    signal.addEventListener('abort', onAbort, {once: true});
    void promise
      .then(resolve, reject)
      .finally(() => signal.removeEventListener('abort', onAbort));
  });
}
