/** Policies for choosing engines. Only `reserving` is meant for production. */

/** How a host chooses engines and when it dispatches requests to them. */
export type PlacementPolicy =
  /**
   * Samples `choices` engines of each role, adds the prefill engine with the
   * longest cached prefix and chooses the pair with the lowest cost. The cost
   * includes work that this host reserved since the last load reports. Keeps
   * requests queued until a decode slot is reserved, and refuses those that
   * would miss their first-token target.
   */
  | {
      readonly kind: 'reserving';
      readonly choices: number;
      readonly slots: SlotSharing;
    }
  /**
   * Baseline: dispatches at once to the engines with the lowest reported load.
   */
  | {readonly kind: 'least-reported'}
  /** Baseline: dispatches at once to the engines in rotation. */
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
