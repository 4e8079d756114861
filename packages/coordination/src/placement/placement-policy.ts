/** Ways of choosing engines; all but the first serve for comparison. */

/** How a host chooses engines and when it sends work to them. */
export type PlacementPolicy =
  /**
   * Compares random choices with own work added, keeps work queued until a
   * decode slot is reserved, and refuses what would miss its target.
   */
  | {
      readonly kind: 'reserving';
      readonly choices: number;
      readonly slots: SlotSharing;
    }
  /** Sends at once to the engine whose last report shows the least work. */
  | {readonly kind: 'least-reported'}
  /** Sends at once to each engine in turn. */
  | {readonly kind: 'round-robin'};

/** How hosts that choose at the same time share the slots of an engine. */
export type SlotSharing =
  /** Each host has a fixed share and borrows a part of what is free. */
  | 'shares'
  /** Each host takes what the last report shows as free. */
  | 'reported';

export const defaultPolicy: PlacementPolicy = {
  kind: 'reserving',
  choices: 2,
  slots: 'shares',
};
