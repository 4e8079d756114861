/** A promise that a test resolves by hand. */

export interface Gate {
  readonly opened: Promise<void>;
  open(): void;
}

export function createGate(): Gate {
  let open: () => void = () => {};
  const opened = new Promise<void>(resolve => {
    open = resolve;
  });
  return {opened, open: () => open()};
}
