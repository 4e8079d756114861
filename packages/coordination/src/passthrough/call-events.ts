/** What a host tells of its decisions about calls, for logs and metrics. */

/** One decision about one call; times are in milliseconds. */
export type CallEvent =
  | {
      readonly kind: 'admitted';
      readonly route: string;
      readonly account: string;
      readonly version: string;
      readonly proofAge: number;
      readonly tokens: number;
    }
  | {
      readonly kind: 'over-rate';
      readonly route: string;
      readonly account: string;
      readonly version: string;
      readonly tokens: number;
      /** Tokens that were left for all hosts, as this host believes. */
      readonly level: number;
      readonly tokensPerSecond: number;
      /** Part of the rate that this host may use. */
      readonly share: number;
      readonly retryAfter: number;
    }
  | {
      readonly kind: 'chosen';
      readonly purpose: 'run' | 'reserve' | 'prefill';
      readonly upstream: string;
      /** Upstreams that could be chosen. */
      readonly candidates: number;
      /** Own and other hosts' calls there, as known at the choice. */
      readonly load: number;
      readonly slowness: number;
      readonly waited: number;
    }
  | {
      readonly kind: 'stage-done';
      readonly purpose: 'run' | 'reserve' | 'prefill';
      readonly upstream: string;
      readonly outcome: string;
      readonly took: number;
    }
  | {
      readonly kind: 'retried';
      readonly reason: string;
      readonly tries: number;
    }
  | {readonly kind: 'retry-withheld'; readonly reason: string}
  | {
      readonly kind: 'resumed';
      readonly upstream: string;
      readonly afterEvent: number;
    };

/** Told of each decision about the call with this id. */
export type CallObserver = (call: string, event: CallEvent) => void;
