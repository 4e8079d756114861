/** Tells requests in flight when the key that they came with is withdrawn. */

import type {RouteDocument} from '../generated/documents.js';
import type {AccountId} from '../ids.js';
import type {Configuration, KeyHash} from './configuration.js';
import type {ConfigurationStore} from './configuration-store.js';

/** Why a guarded request was ended. */
export class KeyWithdrawnError extends Error {
  override readonly name = 'KeyWithdrawnError';

  constructor(readonly account: AccountId) {
    super('the key of the request was withdrawn');
  }
}

/** The guard of one request. */
export interface MonitoredRequest {
  /** Aborted with a `KeyWithdrawnError` when the request must end. */
  readonly signal: AbortSignal;
  /** To be called when the request has ended. */
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
    this.unsubscribe = store.subscribe(current => this.check(current));
  }

  /** Guards a request that `account` was admitted for by the key `hash`. */
  register(
    hash: KeyHash,
    account: AccountId,
    route: RouteDocument,
  ): MonitoredRequest {
    const request = {account, route, controller: new AbortController()};
    const requests = this.openRequests.get(hash) ?? new Set();
    requests.add(request);
    this.openRequests.set(hash, requests);
    // The key may have gone between the request's check and this call.
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

  private check(configuration: Configuration): void {
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
      if (onWithdrawal(configuration, request.route) === 'end-streams')
        request.controller.abort(new KeyWithdrawnError(request.account));
    }
  }
}

/** The route's setting now in force, or the one it was admitted under. */
function onWithdrawal(
  configuration: Configuration,
  route: RouteDocument,
): 'end-streams' | 'finish-streams' {
  const current =
    configuration.routes.find(each => each.name === route.name) ?? route;
  return current.spec.onKeyWithdrawal ?? 'end-streams';
}
