/** How hosts reach each other; the daemon carries it over gRPC. */

import type {Result} from 'true-myth';
import type {HostId, Incarnation} from '../ids.js';
import type {
  PeerReply,
  PeerRequest,
} from '../generated/messages/persimmonwick/peer.js';

/** The body of a request, with the area it belongs to. */
export type PeerRequestBody = NonNullable<PeerRequest['body']>;

/** The body of a reply, with the area it belongs to. */
export type PeerReplyBody = NonNullable<PeerReply['body']>;

/** Why there is no answer of a peer. */
export type PeerError =
  /** No connection could be made: the peer has not seen the request. */
  | {readonly kind: 'unreachable'; readonly host: HostId}
  /** No answer in time: the peer may have acted on the request. */
  | {readonly kind: 'timeout'; readonly host: HostId}
  /** The peer refused the request as a whole and did not act on it. */
  | {readonly kind: 'refused'; readonly host: HostId; readonly code: number}
  /** The answer made no sense. */
  | {readonly kind: 'malformed'; readonly host: HostId};

/** What the sender of a request is known to be. */
export interface PeerIdentity {
  readonly host: HostId;
  readonly incarnation: Incarnation;
}

/** Sends requests to other hosts. */
export interface PeerTransport {
  /** Sends `body` to `host` and waits at most `timeoutMilliseconds`. */
  exchange(
    host: HostId,
    body: PeerRequestBody,
    timeoutMilliseconds: number,
  ): Promise<Result<PeerReplyBody, PeerError>>;
}

/** Answers the requests of one area. */
export interface PeerHandler<Request, Reply> {
  handle(request: Request, from: PeerIdentity): Promise<Reply> | Reply;
}
