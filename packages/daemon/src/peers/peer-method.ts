/** The one gRPC method between hosts. */

import type {MethodDefinition} from '@grpc/grpc-js';
import {PeerReply, PeerRequest} from '@persimmonwick/coordination';

/** Greatest size of a message between hosts, either way. */
export const maximumPeerMessageBytes = 4 * 1024 * 1024;

/** `/persimmonwick.Peer/Exchange`: one request, one reply. */
export const exchangeMethod: MethodDefinition<PeerRequest, PeerReply> = {
  path: '/persimmonwick.Peer/Exchange',
  requestStream: false,
  responseStream: false,
  requestSerialize: request =>
    Buffer.from(PeerRequest.encode(request).finish()),
  requestDeserialize: bytes => PeerRequest.decode(bytes),
  responseSerialize: reply => Buffer.from(PeerReply.encode(reply).finish()),
  responseDeserialize: bytes => PeerReply.decode(bytes),
};
