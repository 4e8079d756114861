/** The gRPC method that hosts use among each other. */

import type {MethodDefinition} from '@grpc/grpc-js';
import {PeerReply, PeerRequest} from '@persimmonwick/coordination';

/** Maximum size of a request or a reply between hosts. */
export const maximumPeerMessageBytes = 4 * 1024 * 1024;

/** `/persimmonwick.Peer/Exchange`, a unary method. */
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
