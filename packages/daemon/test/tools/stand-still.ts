/** Keeps the process from running timers and reading input. */
export function standStill(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}
