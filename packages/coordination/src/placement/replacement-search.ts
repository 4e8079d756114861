/**
 * Searches for what replaces work without progress. A search under way outlives
 * work that fails, which then has nothing else to go on with.
 */

import {AbortScope} from './abort-scope.js';

export interface ReplacementSearchParts<Replacement> {
  /** Ends all searches, and what they found, when it is aborted. */
  readonly signal: AbortSignal;
  /**
   * Resolves with undefined if there is no replacement now. Aborting `signal` ends
   * the search, and the replacement once it is found.
   */
  readonly seek: (signal: AbortSignal) => Promise<Replacement | undefined>;
  /** Frees a replacement that is not used. */
  readonly release: (replacement: Replacement) => void;
}

export class ReplacementSearch<Replacement extends object> {
  private readonly released = new WeakSet<Replacement>();
  private found: Promise<Replacement | undefined> | undefined;
  private isKept = false;

  constructor(private readonly parts: ReplacementSearchParts<Replacement>) {}

  /** Searches once, until `signal` is aborted or, if it is kept, to its end. */
  find(signal: AbortSignal): Promise<Replacement | undefined> {
    const scope = new AbortScope(this.parts.signal);
    const found = this.parts.seek(scope.signal);
    this.found = found;
    const end = () => {
      if (this.isKept || this.found !== found) return;
      this.found = undefined;
      scope.close();
    };
    signal.addEventListener('abort', end, {once: true});
    void found.then(replacement => {
      if (replacement === undefined) scope.close();
    });
    return found;
  }

  /** Frees a replacement, unless its search is kept. */
  release(replacement: Replacement): void {
    if (this.isKept) return;
    this.released.add(replacement);
    this.parts.release(replacement);
  }

  /** Makes the search under way, if there is one, go on without its signal. */
  keep(): void {
    this.isKept = true;
  }

  /**
   * Resolves with what a kept search finds; undefined if it finds nothing or if
   * none is kept.
   */
  async kept(): Promise<Replacement | undefined> {
    const found = this.isKept ? await this.found : undefined;
    return found && !this.released.has(found) ? found : undefined;
  }
}
