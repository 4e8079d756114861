/**
 * Remembers by which pool and software version each stream was begun, so that any
 * host can continue it there. A host tells a few others before it passes on the
 * first event. A host that takes up a stream asks them.
 */

import type {Clock} from '../clock.js';
import type {
  StreamOriginMessage,
  StreamOriginRecord,
} from '../generated/messages/persimmonwick/beat.js';
import {compareLaterEntry} from '../decisions/answering-process.js';
import type {UpstreamDocument} from '../generated/documents.js';
import type {FailureDomainId} from '../ids.js';
import {BoundedMap} from './bounded-map.js';
import type {FleetMember} from './fleet-member.js';
import {rankByRendezvous} from '../rendezvous.js';
import {SlidingWindowCounter} from '../sliding-window-counter.js';
import {keepersOf, likelyKeepersOf} from './stream-origin-keepers.js';

/** What began a stream, and alone may continue it. */
export interface StreamOrigin {
  readonly pool: string;
  /** Empty if the upstream publishes none. */
  readonly softwareVersion: string;
}

/** An origin that a host tells others. */
export interface PublishedOrigin extends StreamOrigin {
  /**
   * The upstream, if only a later list can show whether the process that answered
   * had this version; empty if the version is certain.
   */
  readonly unconfirmedUpstream: string;
  /** Start of this process in the list; 0 if there is none. */
  readonly unconfirmedStartedAt: bigint;
}

/** How a host came to know an origin. */
export type OriginSource = 'own' | 'peer';

export interface KnownOrigin {
  readonly origin: StreamOrigin;
  readonly source: OriginSource;
}

export interface StreamOriginsParts {
  readonly clock: Clock;
  readonly failureDomain: FailureDomainId;
  readonly members: () => readonly FleetMember[];
  /** Sends a datagram, which may be lost. */
  readonly send: (address: string, message: StreamOriginMessage) => void;
}

interface StoredOrigin {
  readonly origin: PublishedOrigin;
  readonly storedAt: number;
}

interface PendingQuery {
  readonly key: string;
  readonly unanswered: Set<string>;
  readonly settle: (origin: PublishedOrigin | undefined) => void;
  /** An answer that is used if none comes that is certain. */
  unconfirmed: PublishedOrigin | undefined;
}

/** Longer than a caller goes on taking up one stream. */
const originLifetimeMilliseconds = 120_000;

/** Bound of the memory for origins; the oldest ones are dropped. */
const maximumOrigins = 16_384;

/** Time after which a question without an answer is sent again. */
const repeatMilliseconds = 60;

/** Times that a question is sent. */
const maximumQuestions = 3;

/** Time for which answers are awaited after the last question. */
const lastAnswerMilliseconds = 180;

const maximumQueryNumber = 2 ** 32;

/** Hosts that are asked besides the likely keepers. */
const maximumFurtherHosts = 96;

/**
 * Searches among further hosts in one window. After a loss of all hosts of a large
 * fleet, each search is in vain, and each host gets up to 960 questions a second.
 */
const maximumWideSearches = 10;
const wideSearchWindowMilliseconds = 1000;

/**
 * Longest wait for the list that confirms an origin: one interval between reads of
 * 0.8 s, and a slow read.
 */
const confirmationMilliseconds = 1200;

export class StreamOrigins {
  private readonly origins = new BoundedMap<string, StoredOrigin>(
    maximumOrigins,
  );
  /** Streams whose origins are not confirmed yet. */
  private readonly unconfirmedKeys = new Set<string>();
  private readonly confirmationListeners = new Set<() => void>();
  private readonly queries = new Map<number, PendingQuery>();
  private readonly wideSearches = new SlidingWindowCounter(
    wideSearchWindowMilliseconds,
  );
  private lastQueryNumber = 0;

  constructor(private readonly parts: StreamOriginsParts) {}

  /** Number of origins in memory, with those of other hosts. */
  get size(): number {
    return this.origins.size;
  }

  /** Records what began a stream, here and at its keepers. */
  publish(key: string, origin: PublishedOrigin): void {
    this.store(key, origin);
    const {members, failureDomain, send} = this.parts;
    const message: StreamOriginMessage = {
      content: {$case: 'record', value: {key, ...origin}},
    };
    for (const {address} of keepersOf(key, members(), failureDomain))
      send(address, message);
  }

  /**
   * Resolves with the origin of a stream; undefined if no host that answers in
   * time knows it.
   */
  async find(key: string): Promise<KnownOrigin | undefined> {
    const own = this.load(key);
    if (own !== undefined && isConfirmed(own))
      return {origin: own, source: 'own'};
    const reported = await this.ask(key);
    if (reported !== undefined) this.store(key, reported);
    const origin = await this.waitUntilConfirmed(key);
    if (origin === undefined) return undefined;
    return {origin, source: reported === undefined ? 'own' : 'peer'};
  }

  /**
   * Confirms origins, and forgets those whose version is not certain, by a list
   * whose read began at `readStartedAt`.
   */
  recordList(
    upstreams: ReadonlyMap<string, UpstreamDocument>,
    readStartedAt: number,
  ): void {
    for (const key of [...this.unconfirmedKeys]) {
      const stored = this.origins.get(key);
      if (stored === undefined) this.unconfirmedKeys.delete(key);
      else if (stored.storedAt <= readStartedAt)
        this.confirm(key, stored, upstreams);
    }
    for (const listener of [...this.confirmationListeners]) listener();
  }

  private confirm(
    key: string,
    {origin, storedAt}: StoredOrigin,
    upstreams: ReadonlyMap<string, UpstreamDocument>,
  ): void {
    this.unconfirmedKeys.delete(key);
    const later = upstreams.get(origin.unconfirmedUpstream);
    const {softwareVersion} = origin;
    const startedAt = Number(origin.unconfirmedStartedAt);
    if (compareLaterEntry({startedAt, softwareVersion}, later) === 'same') {
      const confirmed = {
        ...origin,
        unconfirmedUpstream: '',
        unconfirmedStartedAt: 0n,
      };
      this.origins.set(key, {origin: confirmed, storedAt});
    } else this.origins.delete(key);
  }

  private async waitUntilConfirmed(
    key: string,
  ): Promise<StreamOrigin | undefined> {
    const {clock} = this.parts;
    const settled = new AbortController();
    const listener = () => {
      if (!this.unconfirmedKeys.has(key)) settled.abort();
    };
    listener();
    this.confirmationListeners.add(listener);
    await clock.sleep(confirmationMilliseconds, settled.signal);
    this.confirmationListeners.delete(listener);
    const origin = this.load(key);
    return origin !== undefined && isConfirmed(origin) ? origin : undefined;
  }

  /** Processes a message of the host at `address`. */
  receive(address: string, {content}: StreamOriginMessage): void {
    switch (content?.$case) {
      case 'record': {
        const {key, ...origin} = content.value;
        this.store(key, origin);
        return;
      }
      case 'query': {
        const {number, key} = content.value;
        const origin = this.load(key);
        const record = origin === undefined ? undefined : {key, ...origin};
        const value = {number, record};
        this.parts.send(address, {content: {$case: 'reply', value}});
        return;
      }
      case 'reply':
        this.recordReply(address, content.value.number, content.value.record);
        return;
      case undefined:
    }
  }

  private recordReply(
    address: string,
    number: number,
    record: StreamOriginRecord | undefined,
  ): void {
    const query = this.queries.get(number);
    if (query === undefined) return;
    // The reply to a query of an earlier process at this address may have the
    // same number.
    if (record !== undefined && record.key !== query.key) return;
    if (!query.unanswered.delete(address)) return;
    if (record !== undefined) {
      const {key: _, ...origin} = record;
      if (isConfirmed(origin)) {
        query.settle(origin);
        return;
      }
      query.unconfirmed = origin;
    }
    if (query.unanswered.size === 0) query.settle(query.unconfirmed);
  }

  /**
   * Asks the likely keepers until one knows the origin or all have answered. Other
   * hosts are asked too if none of them knows it, as after a loss of many hosts.
   */
  private async ask(key: string): Promise<PublishedOrigin | undefined> {
    const {clock, members, failureDomain, send} = this.parts;
    const asked = likelyKeepersOf(key, members(), failureDomain);
    if (asked.length === 0) return undefined;
    this.lastQueryNumber = (this.lastQueryNumber + 1) % maximumQueryNumber;
    const number = this.lastQueryNumber;
    const unanswered = new Set(asked.map(({address}) => address));
    let answered = new AbortController();
    let found: PublishedOrigin | undefined;
    const settle = (origin: PublishedOrigin | undefined) => {
      found = origin;
      answered.abort();
    };
    const query: PendingQuery = {
      key,
      unanswered,
      settle,
      unconfirmed: undefined,
    };
    this.queries.set(number, query);
    let questions = 0;
    while (questions < maximumQuestions) {
      for (const address of unanswered)
        send(address, {content: {$case: 'query', value: {number, key}}});
      questions += 1;
      const isLast = questions === maximumQuestions;
      await clock.sleep(
        isLast ? lastAnswerMilliseconds : repeatMilliseconds,
        answered.signal,
      );
      const isKnown = (found ?? query.unconfirmed) !== undefined;
      if (questions === 1 && !isKnown) {
        for (const address of this.furtherHosts(key, asked))
          unanswered.add(address);
        answered = new AbortController();
      }
      if (answered.signal.aborted || unanswered.size === 0) break;
    }
    this.queries.delete(number);
    return found ?? query.unconfirmed;
  }

  /** Addresses of the hosts that are asked when no likely keeper knows. */
  private furtherHosts(key: string, asked: readonly FleetMember[]): string[] {
    const {clock, members} = this.parts;
    const now = clock.now();
    const further = members().filter(
      member =>
        member.isLive && !asked.some(({address}) => address === member.address),
    );
    if (further.length === 0) return [];
    if (this.wideSearches.total(now) >= maximumWideSearches) return [];
    this.wideSearches.add(now);
    return rankByRendezvous(key, further, ({host}) => host)
      .slice(0, maximumFurtherHosts)
      .map(({address}) => address);
  }

  private store(key: string, origin: PublishedOrigin): void {
    const storedAt = this.parts.clock.now();
    const known = this.load(key);
    // What was confirmed stays so, whatever an earlier message says.
    if (
      known !== undefined &&
      isConfirmed(known) &&
      !isConfirmed(origin) &&
      known.softwareVersion === origin.softwareVersion
    )
      return;
    this.origins.set(key, {origin, storedAt});
    if (isConfirmed(origin)) this.unconfirmedKeys.delete(key);
    else this.unconfirmedKeys.add(key);
    for (const [oldestKey, oldest] of this.origins.entries()) {
      if (storedAt - oldest.storedAt <= originLifetimeMilliseconds) return;
      this.origins.delete(oldestKey);
    }
  }

  private load(key: string): PublishedOrigin | undefined {
    const stored = this.origins.get(key);
    if (stored === undefined) return undefined;
    const age = this.parts.clock.now() - stored.storedAt;
    return age <= originLifetimeMilliseconds ? stored.origin : undefined;
  }
}

function isConfirmed({unconfirmedUpstream}: PublishedOrigin): boolean {
  return unconfirmedUpstream === '';
}
