/**
 * Aborts requests in flight when the key that they used is withdrawn or moved
 * to another client account.
 */

import type {RouteDocument} from '../generated/documents.js';
import type {AccountId} from '../ids.js';
import type {Configuration, KeyHash} from './configuration.js';
import type {ConfigurationStore} from './configuration-store.js';

/** The abort reason of a request whose key no longer belongs to `account`. */
export class KeyWithdrawnError extends Error {
  override readonly name = 'KeyWithdrawnError';

  constructor(readonly account: AccountId) {
    super('the key of the request no longer belongs to its client account');
  }
}

/** The registration of one request. */
export interface MonitoredRequest {
  /** Aborted with a `KeyWithdrawnError` when the request must be cancelled. */
  readonly signal: AbortSignal;
  /** Removes the registration. The caller calls it when the request ends. */
  close(): void;
}

interface RequestInFlight {
  readonly account: AccountId;
  readonly route: RouteDocument;
  readonly controller: AbortController;
}

/** Checks the registered requests after each change of the configuration. */
export class KeyWithdrawalMonitor {
  private readonly requestsInFlight = new Map<KeyHash, Set<RequestInFlight>>();
  private readonly unsubscribe: () => void;

  constructor(private readonly store: ConfigurationStore) {
    this.unsubscribe = store.subscribe(current =>
      this.abortRequestsOfWithdrawnKeys(current),
    );
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
    const requests = this.requestsInFlight.get(hash) ?? new Set();
    requests.add(request);
    this.requestsInFlight.set(hash, requests);
    // The key may have been withdrawn after the request was authenticated.
    this.abortRequestsOf(this.store.current, hash, requests);
    return {
      signal: request.controller.signal,
      close: () => {
        requests.delete(request);
        if (requests.size === 0 && this.requestsInFlight.get(hash) === requests)
          this.requestsInFlight.delete(hash);
      },
    };
  }

  close(): void {
    this.unsubscribe();
    this.requestsInFlight.clear();
  }

  private abortRequestsOfWithdrawnKeys(configuration: Configuration): void {
    for (const [hash, requests] of this.requestsInFlight)
      this.abortRequestsOf(configuration, hash, requests);
  }

  private abortRequestsOf(
    configuration: Configuration,
    hash: KeyHash,
    requests: ReadonlySet<RequestInFlight>,
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
 * Returns the active setting of the route, or, if the route has been withdrawn,
 * the setting at the admission of the request.
 */
function withdrawalPolicyOf(
  configuration: Configuration,
  route: RouteDocument,
): 'end-streams' | 'finish-streams' {
  const current =
    configuration.routes.find(each => each.name === route.name) ?? route;
  return current.spec.onKeyWithdrawal ?? 'end-streams';
}
