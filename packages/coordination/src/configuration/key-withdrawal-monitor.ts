/** Aborts requests in flight when the key that they used is withdrawn. */

import type {RouteDocument} from '../generated/documents.js';
import type {AccountId} from '../ids.js';
import type {Configuration, KeyHash} from './configuration.js';
import type {ConfigurationStore} from './configuration-store.js';

/** The abort reason of a request whose key was withdrawn. */
export class KeyWithdrawnError extends Error {
  override readonly name = 'KeyWithdrawnError';

  constructor(readonly account: AccountId) {
    super('the key of the request was withdrawn');
  }
}

/** The registration of one request. */
export interface MonitoredRequest {
  /** Aborted with a `KeyWithdrawnError` when the request must be cancelled. */
  readonly signal: AbortSignal;
  /** Removes the registration. The caller calls it when the request ends. */
  close(): void;
}

interface OpenRequest {
  readonly account: AccountId;
  readonly route: RouteDocument;
  readonly controller: AbortController;
}

export class KeyWithdrawalMonitor {
  private readonly openRequests = new Map<KeyHash, Set<OpenRequest>>();
  private readonly unsubscribe: () => void;

  constructor(private readonly store: ConfigurationStore) {
    this.unsubscribe = store.subscribe(current => this.checkAll(current));
  }

  /**
   * Registers a request on `route` that was admitted for `account` by the key
   * with the given hash.
   */
  register(
    hash: KeyHash,
    account: AccountId,
    route: RouteDocument,
  ): MonitoredRequest {
    const request = {account, route, controller: new AbortController()};
    const requests = this.openRequests.get(hash) ?? new Set();
    requests.add(request);
    this.openRequests.set(hash, requests);
    // The key may have been withdrawn after the request was authenticated.
    this.checkKey(this.store.current, hash, requests);
    return {
      signal: request.controller.signal,
      close: () => {
        requests.delete(request);
        if (requests.size === 0 && this.openRequests.get(hash) === requests)
          this.openRequests.delete(hash);
      },
    };
  }

  close(): void {
    this.unsubscribe();
    this.openRequests.clear();
  }

  private checkAll(configuration: Configuration): void {
    for (const [hash, requests] of this.openRequests)
      this.checkKey(configuration, hash, requests);
  }

  private checkKey(
    configuration: Configuration,
    hash: KeyHash,
    requests: ReadonlySet<OpenRequest>,
  ): void {
    const account = configuration.accountOfKey.get(hash);
    for (const request of requests) {
      if (account === request.account) continue;
      if (withdrawalPolicyOf(configuration, request.route) === 'end-streams')
        request.controller.abort(new KeyWithdrawnError(request.account));
    }
  }
}

/**
 * Returns the active setting of the route, or the setting that the request was
 * admitted under when the route was withdrawn.
 */
function withdrawalPolicyOf(
  configuration: Configuration,
  route: RouteDocument,
): 'end-streams' | 'finish-streams' {
  const current =
    configuration.routes.find(each => each.name === route.name) ?? route;
  return current.spec.onKeyWithdrawal ?? 'end-streams';
}
