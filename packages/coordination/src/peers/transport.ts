/** Requests between hosts. The daemon implements the transport with gRPC. */

import type {Result} from 'true-myth';
import type {HostId, Incarnation} from '../ids.js';
import type {
  PeerReply,
  PeerRequest,
} from '../generated/messages/persimmonwick/peer.js';

/** The body of a request, tagged with its message kind. */
export type PeerRequestBody = NonNullable<PeerRequest['body']>;

/** The body of a reply, tagged with its message kind. */
export type PeerReplyBody = NonNullable<PeerReply['body']>;

/** The reason why a request to a peer produced no valid reply. */
export type PeerError =
  /** The connection failed, so the peer has not received the request. */
  | {readonly kind: 'unreachable'; readonly host: HostId}
  /** The request timed out. The peer may have acted on it. */
  | {readonly kind: 'timeout'; readonly host: HostId}
  /** The peer rejected the request with the code of a `PeerRefusal`. */
  | {readonly kind: 'refused'; readonly host: HostId; readonly code: number}
  /** The reply is invalid. */
  | {readonly kind: 'malformed'; readonly host: HostId};

/** The host and the incarnation that sent a request. */
export interface PeerIdentity {
  readonly host: HostId;
  readonly incarnation: Incarnation;
}

/** Sends requests to other hosts. */
export interface PeerTransport {
  /**
   * Sends `body` to `host` and waits up to `timeoutMilliseconds` for a reply.
   */
  exchange(
    host: HostId,
    body: PeerRequestBody,
    timeoutMilliseconds: number,
  ): Promise<Result<PeerReplyBody, PeerError>>;
}

/** Handles the requests of one message kind. */
export interface PeerHandler<Request, Reply> {
  handle(request: Request, from: PeerIdentity): Promise<Reply> | Reply;
}
