/** The token bucket of an upstream that takes a limited number of requests. */

const millisecondsPerSecond = 1000;

/**
 * Requests above the limit that an upstream bears in any window: a fraction of
 * what the limit allows, and a number.
 */
const toleranceWindowSeconds = 4;
const toleratedExcess = 0.5;
const toleratedRequests = 5;

/**
 * Fraction of this tolerance that hosts may use together before they know of
 * each other's requests. The rest covers lost heartbeats.
 */
const unreportedFraction = 0.75;

/** The bucket holds at least one request and otherwise this time of the limit. */
const burstSeconds = 0.25;

/**
 * Rate used for lower limits. Without any request, a host would not learn that
 * the limit has ended.
 */
const minimumRequestsPerSecond = 0.5;

/** Higher limits are equivalent to none. */
const maximumRequestsPerSecond = 1e6;

/** What an upstream takes, as its responses say. */
export interface LimitStatement {
  /** Undefined if the upstream names no limit. */
  readonly requestsPerSecond: number | undefined;
  /** Clock time of the response. */
  readonly at: number;
}

export class LimitedUpstream {
  /** Requests of this host since it knows the upstream to be limited. */
  sentRequests = 0;
  private level = 0;
  private updatedAt: number;

  constructor(
    /** Start of the process, in Unix milliseconds; 0 if it is not published. */
    readonly startedAt: number,
    private newestStatement: LimitStatement,
  ) {
    this.updatedAt = newestStatement.at;
  }

  get statement(): LimitStatement {
    return this.newestStatement;
  }

  /** Replaces what the upstream takes. The bucket of a new limit is empty. */
  restate(statement: LimitStatement): void {
    if (!this.isLimited) {
      this.level = 0;
      this.updatedAt = statement.at;
    }
    this.newestStatement = statement;
  }

  get isLimited(): boolean {
    return this.statement.requestsPerSecond !== undefined;
  }

  /**
   * Number of hosts that may send to the upstream if each sends `cost` requests
   * before it learns of the others.
   */
  maximumSenders(cost: number): number {
    const tolerated =
      toleratedExcess * this.namedRate * toleranceWindowSeconds +
      toleratedRequests;
    return Math.max(1, Math.floor((unreportedFraction * tolerated) / cost));
  }

  /** Requests that may be sent now; negative after too many. */
  levelAt(now: number, share: number): number {
    const seconds = Math.max(0, now - this.updatedAt) / millisecondsPerSecond;
    this.updatedAt = Math.max(now, this.updatedAt);
    const refilled = this.level + seconds * this.rate * share;
    this.level = Math.max(this.lowestLevel, Math.min(this.burst, refilled));
    return this.level;
  }

  /** Time until `requests` may be sent, in milliseconds. */
  waitFor(requests: number, now: number, share: number): number {
    const missing = requests - this.levelAt(now, share);
    const rate = Math.max(Number.MIN_VALUE, this.rate * share);
    return Math.max(0, (missing / rate) * millisecondsPerSecond);
  }

  /** Subtracts requests from the bucket. A negative number returns them. */
  take(requests: number): void {
    if (this.isLimited) this.level -= requests;
  }

  private get namedRate(): number {
    const {requestsPerSecond = Infinity} = this.statement;
    return Math.min(maximumRequestsPerSecond, requestsPerSecond);
  }

  /** Requests a second of all hosts together. */
  get rate(): number {
    return Math.max(minimumRequestsPerSecond, this.namedRate);
  }

  /** Bounds the effect of wrong reports. */
  private get lowestLevel(): number {
    return -toleranceWindowSeconds * this.rate;
  }

  private get burst(): number {
    return Math.max(1, this.rate * burstSeconds);
  }
}
