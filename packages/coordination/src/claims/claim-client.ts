/** Sends claim messages to witnesses and to the owners of other attempts. */

import type {Result} from 'true-myth';
import type {Clock} from '../clock.js';
import type {
  ClaimKey,
  ClaimOwner,
  ClaimOwnerState,
  ClaimReply,
  ClaimRequest,
} from '../generated/messages/persimmonwick/claims.js';
import {ClaimRefused_Code as RefusedCode} from '../generated/messages/persimmonwick/claims.js';
import type {HostId} from '../ids.js';
import {hostId} from '../ids.js';
import type {
  PeerError,
  PeerHandler,
  PeerIdentity,
  PeerReplyBody,
  PeerTransport,
} from '../peers/transport.js';
import type {RandomSource} from '../random.js';
import type {Vote} from './vote-tally.js';
import {retryDelayMilliseconds} from './claim-timing.js';

/** Timeout of each message that is sent until it is accepted. */
const deliveryTimeoutMilliseconds = 1000;
/** Time for the round trip of a query, added to the requested wait. */
const ownerReplyMarginMilliseconds = 250;

export interface ClaimClientParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: PeerIdentity;
  readonly transport: PeerTransport;
  /** Handles requests that this host sends to itself. */
  readonly local: PeerHandler<ClaimRequest, ClaimReply>;
}

export class ClaimClient {
  constructor(private readonly parts: ClaimClientParts) {}

  /** Sends a `take` message to the witness on `host` and returns its vote. */
  async requestVote(
    host: HostId,
    key: ClaimKey,
    owner: ClaimOwner,
    listsDigest: bigint,
    timeoutMilliseconds: number,
  ): Promise<Vote> {
    const request: ClaimRequest = {
      key,
      owner,
      action: {$case: 'take', value: {listsDigest}},
    };
    return voteOf(await this.exchange(host, request, timeoutMilliseconds));
  }

  /** Queries the state of an attempt; undefined when its owner does not answer. */
  async queryAttemptState(
    key: ClaimKey,
    owner: ClaimOwner,
    waitMilliseconds: number,
  ): Promise<ClaimOwnerState | undefined> {
    const request: ClaimRequest = {
      key,
      owner,
      action: {$case: 'ownerQuery', value: {waitMilliseconds}},
    };
    const timeout = waitMilliseconds + ownerReplyMarginMilliseconds;
    const reply = await this.exchange(hostId(owner.host), request, timeout);
    return reply?.$case === 'ownerState' ? reply.value : undefined;
  }

  /**
   * Sends `request` with backoff until `host` accepts it. Resolves to false on
   * timeout or when `signal` is aborted.
   */
  async sendUntilAccepted(
    host: HostId,
    request: ClaimRequest,
    totalTimeoutMilliseconds: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, random} = this.parts;
    const deadline = clock.now() + totalTimeoutMilliseconds;
    for (let retryCount = 0; !signal.aborted; retryCount += 1) {
      const reply = await this.exchange(
        host,
        request,
        deliveryTimeoutMilliseconds,
      );
      if (reply?.$case === 'accepted') return true;
      const delay = retryDelayMilliseconds(random, retryCount);
      if (clock.now() + delay >= deadline) return false;
      await clock.sleep(delay, signal);
    }
    return false;
  }

  private async exchange(
    host: HostId,
    value: ClaimRequest,
    timeoutMilliseconds: number,
  ): Promise<ClaimReply['result']> {
    const {self, local, transport} = this.parts;
    if (host === self.host) return (await local.handle(value, self)).result;
    return resultOf(
      await transport.exchange(
        host,
        {$case: 'claim', value},
        timeoutMilliseconds,
      ),
    );
  }
}

function resultOf(
  reply: Result<PeerReplyBody, PeerError>,
): ClaimReply['result'] {
  if (reply.isErr || reply.value.$case !== 'claim') return undefined;
  return reply.value.value.result;
}

function voteOf(result: ClaimReply['result']): Vote {
  switch (result?.$case) {
    case 'granted':
      return {kind: 'granted'};
    case 'held': {
      const {fingerprintDiffers, outcome, owners} = result.value;
      if (fingerprintDiffers) return {kind: 'fingerprint-differs'};
      if (outcome !== undefined) return {kind: 'settled', outcome};
      return {kind: 'held', owners};
    }
    case 'abstained':
      return {kind: 'abstained'};
    case 'refused':
      return {
        kind: result.value.code === RefusedCode.CODE_FULL ? 'full' : 'no-vote',
      };
    case 'accepted':
    case 'page':
    case 'ownerState':
    case undefined:
      return {kind: 'no-vote'};
  }
}
