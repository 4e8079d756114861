/** Losses of engines as seen by hosts. */

/** One engine that went down. */
export interface UpstreamLoss {
  readonly upstream: string;
  /** Start of the process that went down; 0 if it is not published. */
  readonly startedAt: number;
  /** Clock time at which the connection failed. */
  readonly at: number;
  /** Whether this host observed it. */
  readonly isOwn: boolean;
}

/**
 * Maximum time between reports of one loss by different hosts, if start times
 * do not identify it. An engine takes longer to come back.
 */
const sameLossMilliseconds = 1500;

/** Returns whether two reports are about one loss. */
export function isSameLoss(left: UpstreamLoss, right: UpstreamLoss): boolean {
  if (left.upstream !== right.upstream) return false;
  // A process goes down once, however late a report of it arrives.
  if (left.startedAt !== 0 && left.startedAt === right.startedAt) return true;
  return Math.abs(left.at - right.at) < sameLossMilliseconds;
}
