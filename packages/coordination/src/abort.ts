/** Waiting that ends early. */

/**
 * The value of `promise`, or undefined once `signal` is aborted. Leaves nothing
 * behind at the signal, which may live as long as the process.
 */
export function untilAborted<Value>(
  promise: Promise<Value>,
  signal: AbortSignal,
): Promise<Value | undefined> {
  if (signal.aborted) return Promise.resolve(undefined);
  return new Promise((resolve, reject) => {
    const end = () => resolve(undefined);
    signal.addEventListener('abort', end, {once: true});
    void promise
      .then(resolve, reject)
      .finally(() => signal.removeEventListener('abort', end));
  });
}
