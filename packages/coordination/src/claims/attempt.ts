/** One attempt to run a key: its votes, and the messages that end it. */

import type {Clock} from '../clock.js';
import type {
  ClaimKey,
  ClaimOutcome,
  ClaimOwner,
  ClaimRequest,
} from '../generated/messages/persimmonwick/claims.js';
import type {HostId} from '../ids.js';
import {Ballot} from './ballot.js';
import type {ClaimMessenger} from './claim-messenger.js';
import {claimWindowMilliseconds, maximumOutcomeBytes} from './claim-timing.js';
import type {MembershipView, WitnessSets} from './witness-placement.js';
import {chooseWitnesses, witnessHosts} from './witness-placement.js';

const abandonBoundMilliseconds = 10_000;
const recordBoundMilliseconds = 60_000;

export interface AttemptParts {
  readonly clock: Clock;
  readonly messenger: ClaimMessenger;
  readonly view: MembershipView;
  readonly key: ClaimKey;
  readonly owner: ClaimOwner;
  /** Ends the retries of abandons and records. */
  readonly signal: AbortSignal;
}

export class Attempt {
  readonly owner: ClaimOwner;
  readonly view: MembershipView;
  readonly hosts: readonly HostId[];
  /** Time of the own clock after which no grant counts. */
  readonly expiresAt: number;
  private readonly sets: WitnessSets;

  constructor(private readonly parts: AttemptParts) {
    this.owner = parts.owner;
    this.view = parts.view;
    this.sets = chooseWitnesses(parts.view, parts.key);
    this.hosts = witnessHosts(this.sets);
    this.expiresAt = parts.clock.now() + claimWindowMilliseconds;
  }

  get isInTime(): boolean {
    return this.parts.clock.now() <= this.expiresAt;
  }

  /** Asks all witnesses; ends as soon as their votes decide. */
  async collect(deadline: number, signal: AbortSignal): Promise<Ballot> {
    const {clock} = this.parts;
    const ballot = new Ballot(this.sets);
    const window = Math.min(this.expiresAt, deadline) - clock.now();
    const ended = new AbortController();
    const end = () => ended.abort();
    signal.addEventListener('abort', end, {once: true});
    const asks = this.hosts.map(async host => {
      const vote = await this.ask(host, window);
      if (!this.isInTime || ended.signal.aborted) return;
      ballot.add(host, vote);
      if (ballot.result().kind !== 'open') end();
    });
    void Promise.all(asks).then(end);
    await clock.sleep(window, ended.signal);
    end();
    signal.removeEventListener('abort', end);
    return ballot;
  }

  /** Tells all witnesses that the attempt will never be sent. */
  sendAbandon(): Promise<number> {
    return this.deliver(
      {$case: 'abandon', value: {}},
      abandonBoundMilliseconds,
    );
  }

  /** Tells all witnesses the outcome; resolves to how many have it. */
  sendOutcome(outcome: ClaimOutcome): Promise<number> {
    const isTooLarge = outcome.body.length > maximumOutcomeBytes;
    const kept = isTooLarge
      ? {...outcome, body: new Uint8Array(), bodyOmitted: true}
      : outcome;
    return this.deliver(
      {$case: 'record', value: {outcome: kept}},
      recordBoundMilliseconds,
    );
  }

  private ask(host: HostId, timeoutMilliseconds: number) {
    const {messenger, key, owner, view} = this.parts;
    return messenger.take(host, key, owner, view.digest, timeoutMilliseconds);
  }

  private async deliver(
    action: ClaimRequest['action'],
    boundMilliseconds: number,
  ): Promise<number> {
    const {messenger, key, owner, signal} = this.parts;
    const request = {key, owner, action};
    const delivered = await Promise.all(
      this.hosts.map(host =>
        messenger.deliver(host, request, boundMilliseconds, signal),
      ),
    );
    return delivered.filter(Boolean).length;
  }
}
