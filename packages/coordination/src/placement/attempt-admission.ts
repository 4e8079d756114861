/**
 * Reserves engines for the attempts of one completion. Those for a further
 * attempt, and its retry, can be set aside while the present one is stalled.
 */

import type {CompletionRequest} from '../requests/completion.js';
import {Result} from 'true-myth';
import type {Configuration} from '../configuration/configuration.js';
import type {CompletionProgress} from './attempt-runner.js';
import {isVersionCertain} from './completion-origin.js';
import {versionGoneFailure} from './placement-failures.js';
import type {HeldRetry} from '../passthrough/pool-retry-budget.js';
import type {CompletionRetries} from './completion-retries.js';
import type {Dispatcher} from './dispatcher.js';
import type {Placement} from './placement.js';
import type {Admission} from './waiting-request.js';

export interface AttemptAdmissionParts {
  readonly dispatcher: Dispatcher;
  readonly retries: CompletionRetries;
  readonly configuration: () => Configuration;
}

export class AttemptAdmission {
  private readonly heldRetries = new WeakMap<Placement, HeldRetry>();

  /** `arrivedAt` is the clock time at which the request arrived. */
  constructor(
    private readonly parts: AttemptAdmissionParts,
    private readonly request: CompletionRequest,
    private readonly progress: CompletionProgress,
    private readonly arrivedAt: number,
  ) {}

  /**
   * Waits until engines are reserved, or fails. A request whose caller has tokens
   * goes on only at the version that wrote them, and not if it is unknown.
   */
  async admit(isRetry: boolean, signal: AbortSignal): Promise<Admission> {
    const {promptTokens, deliveredTokens, origin} = this.progress;
    const {request, arrivedAt} = this;
    const {dispatcher, configuration} = this.parts;
    if (origin !== undefined && !isVersionCertain(configuration(), origin))
      return Result.err(versionGoneFailure(origin.softwareVersion));
    const requiredVersion = origin?.softwareVersion;
    return dispatcher.admit(
      {
        ...request,
        promptTokens,
        ...(requiredVersion !== undefined && {requiredVersion}),
      },
      {arrivedAt, deliveredTokens, isRetry},
      signal,
    );
  }

  /**
   * Reserves engines for a further attempt and takes one retry from the budget.
   * Resolves with undefined if either is not available now or `signal` is
   * aborted.
   */
  async findReplacement(signal: AbortSignal): Promise<Placement | undefined> {
    const {retries} = this.parts;
    if (!retries.isAvailable()) return undefined;
    const admission = await this.admit(true, signal);
    if (admission.isErr) return undefined;
    const retry = signal.aborted ? undefined : retries.tryAcquire();
    if (retry === undefined) admission.value.close();
    else this.heldRetries.set(admission.value, retry);
    return retry && admission.value;
  }

  /** Spends the retry of engines that are about to be used. */
  useReplacement(placement: Placement): void {
    this.heldRetries.get(placement)?.use();
  }

  /** Frees engines that are not needed, and returns the retry. */
  releaseReplacement(placement: Placement): void {
    placement.close();
    this.heldRetries.get(placement)?.release();
  }
}
