/** Policies for choosing engines. Only `reserving` is meant for production. */

/** How a host chooses engines and when it dispatches requests to them. */
export type PlacementPolicy =
  /**
   * Compares the costs of `choices` randomly sampled engines, including this
   * host's own work. Keeps requests queued until a decode slot is reserved, and
   * refuses those that would miss their first-token target.
   */
  | {
      readonly kind: 'reserving';
      readonly choices: number;
      readonly slots: SlotSharing;
    }
  /**
   * Dispatches immediately to the engine with the lowest reported load.
   * Baseline.
   */
  | {readonly kind: 'least-reported'}
  /** Dispatches immediately to the engines in rotation. Baseline. */
  | {readonly kind: 'round-robin'};

/** How hosts share the slots of an engine when they choose concurrently. */
export type SlotSharing =
  /** Each host has a guaranteed share and borrows some of the free slots. */
  | 'shares'
  /** Each host uses any slot that the last report shows as free. */
  | 'reported';

export const defaultPolicy: PlacementPolicy = {
  kind: 'reserving',
  choices: 2,
  slots: 'shares',
};
