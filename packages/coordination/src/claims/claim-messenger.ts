/** Carries the messages of attempts to witnesses and to other owners. */

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
import type {Vote} from './ballot.js';
import {retryDelay} from './claim-timing.js';

const deliveryTimeoutMilliseconds = 1000;
const ownerReplyMilliseconds = 250;

export interface ClaimMessengerParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: PeerIdentity;
  readonly transport: PeerTransport;
  /** Answers what this host asks of itself. */
  readonly local: PeerHandler<ClaimRequest, ClaimReply>;
}

export class ClaimMessenger {
  constructor(private readonly parts: ClaimMessengerParts) {}

  /** Asks `host` for its vote. */
  async take(
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

  /** Asks an owner about its attempt; undefined when it does not answer. */
  async queryOwner(
    key: ClaimKey,
    owner: ClaimOwner,
    waitMilliseconds: number,
  ): Promise<ClaimOwnerState | undefined> {
    const request: ClaimRequest = {
      key,
      owner,
      action: {$case: 'ownerQuery', value: {waitMilliseconds}},
    };
    const timeout = waitMilliseconds + ownerReplyMilliseconds;
    const reply = await this.exchange(hostId(owner.host), request, timeout);
    return reply?.$case === 'ownerState' ? reply.value : undefined;
  }

  /** Repeats `request` until `host` accepts it; false when time ran out. */
  async deliver(
    host: HostId,
    request: ClaimRequest,
    boundMilliseconds: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, random} = this.parts;
    const givesUpAt = clock.now() + boundMilliseconds;
    for (let attempt = 0; !signal.aborted; attempt += 1) {
      const reply = await this.exchange(
        host,
        request,
        deliveryTimeoutMilliseconds,
      );
      if (reply?.$case === 'accepted') return true;
      const delay = retryDelay(random, attempt);
      if (clock.now() + delay >= givesUpAt) return false;
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
        kind: result.value.code === RefusedCode.CODE_FULL ? 'full' : 'none',
      };
    case 'accepted':
    case 'page':
    case 'ownerState':
    case undefined:
      return {kind: 'none'};
  }
}
