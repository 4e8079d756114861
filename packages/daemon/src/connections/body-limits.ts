/** Limits on whole response bodies, whether bytes keep coming or not. */

export interface BodyLimits {
  readonly maximumBytes: number;
  /** Time in which the whole body arrives. */
  readonly timeoutMilliseconds: number;
}

/** Largest body that the host itself reads or discards. */
const maximumSmallBodyBytes = 32 * 1024;

/** Least time in which a body may arrive after its head. */
const minimumBodyTimeoutMilliseconds = 100;

/** Limits of a body that the host itself reads or discards. */
export function smallBodyLimits(timeoutMilliseconds: number): BodyLimits {
  return {maximumBytes: maximumSmallBodyBytes, timeoutMilliseconds};
}

/** Limits of a body after a part of their time has passed. */
export function remainingLimits(
  {maximumBytes, timeoutMilliseconds}: BodyLimits,
  elapsedMilliseconds: number,
): BodyLimits {
  const remaining = timeoutMilliseconds - elapsedMilliseconds;
  return {
    maximumBytes,
    timeoutMilliseconds: Math.max(minimumBodyTimeoutMilliseconds, remaining),
  };
}
