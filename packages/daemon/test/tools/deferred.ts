/** A promise that a test resolves by hand. */

export interface Deferred {
  readonly promise: Promise<void>;
  resolve(): void;
}

export function createDeferred(): Deferred {
  let open: () => void = () => {};
  const promise = new Promise<void>(resolve => {
    open = resolve;
  });
  return {promise, resolve: () => open()};
}
