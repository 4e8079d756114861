/**
 * How much of the bytes of responses a process holds, and what is given up when they
 * exceed their budget.
 *
 * Load pattern: many calls are at an upstream whose responses have no end, or their
 * callers read slowly. Each response is bounded, and their sum is not.
 */

/** Part of the budget up to which a response may hold as much as its own limits allow. */
const sharedFraction = 0.5;

/** Part of the budget below which a shortage is over. */
const recoveredFraction = 0.25;

/** What a response may hold at any time, so that it goes on. */
export const minimumAllowanceBytes = 16 * 1024;

/** What the responses of a process hold together. */
export interface HeldTotal {
  readonly budgetBytes: number;
  readonly heldBytes: number;
  /** Responses that have begun and not ended. */
  readonly responses: number;
}

export interface HeldResponse {
  /** Bytes that can't be passed on until more have arrived. */
  readonly incompleteBytes: number;
}

export function isMemoryShort({budgetBytes, heldBytes}: HeldTotal): boolean {
  return heldBytes > budgetBytes * sharedFraction;
}

/** Returns whether a shortage is over, with hysteresis. */
export function isMemoryRecovered({
  budgetBytes,
  heldBytes,
}: HeldTotal): boolean {
  return heldBytes < budgetBytes * recoveredFraction;
}

/**
 * Returns the bytes beyond which a response is not read on before its caller has
 * read; infinite unless memory is short.
 */
export function responseAllowanceOf(total: HeldTotal): number {
  if (!isMemoryShort(total)) return Infinity;
  const rest = total.budgetBytes * (1 - sharedFraction);
  return Math.max(minimumAllowanceBytes, rest / Math.max(1, total.responses));
}

/**
 * Returns the response to give up, if the budget is exceeded. Only one that can
 * neither be passed on nor wait is given up: its bytes are no complete event.
 */
export function chooseGivenUp<Response extends HeldResponse>(
  total: HeldTotal,
  responses: Iterable<Response>,
): Response | undefined {
  if (total.heldBytes <= total.budgetBytes) return undefined;
  let worst: Response | undefined;
  for (const response of responses) {
    const {incompleteBytes} = response;
    if (incompleteBytes <= minimumAllowanceBytes) continue;
    if (incompleteBytes > (worst?.incompleteBytes ?? 0)) worst = response;
  }
  return worst;
}
