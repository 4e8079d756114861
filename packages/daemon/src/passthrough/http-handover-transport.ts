/** Hands calls over to other hosts over HTTP. */

import {upstreamId} from '@persimmonwick/coordination';
import type {
  HandoverTransport,
  PassthroughResponse,
  ResponseMemory,
  RoutedCall,
  SendGate,
  TransportResult,
} from '@persimmonwick/coordination';
import type {Dispatcher} from 'undici';
import {sendRequest} from '../connections/exchange.js';
import type {UpstreamConnections} from '../connections/upstream-connections.js';
import type {CallerWireFormat} from './wire-format.js';

/**
 * Header of a failure by which a host declines a call that was handed over to it
 * and has not run.
 */
export const handoverDeclinedHeader = 'x-persimmonwick-handover-declined';

export class HttpHandoverTransport implements HandoverTransport {
  constructor(
    private readonly connections: UpstreamConnections,
    private readonly wireFormat: CallerWireFormat,
    private readonly sendGate: Pick<SendGate, 'handoverRefusalOf'>,
    private readonly memory?: ResponseMemory,
  ) {}

  handOver(
    address: string,
    call: RoutedCall,
    remainingMilliseconds: number,
    signal: AbortSignal,
  ): TransportResult<PassthroughResponse> {
    const headers = this.wireFormat.handoverHeaders(
      call,
      remainingMilliseconds,
    );
    return sendRequest({
      upstream: upstreamId(address),
      connection: this.connections.acquire(
        address,
        !call.route.target.repeatable,
      ),
      request: {
        method: call.method as Dispatcher.HttpMethod,
        path: call.target,
        headers: headers.flat(),
        body: call.body.length > 0 ? Buffer.from(call.body) : null,
      },
      headersTimeoutMilliseconds: remainingMilliseconds,
      bodyIdleTimeoutMilliseconds: remainingMilliseconds,
      bodyLimits: () => undefined,
      signal,
      ...(this.memory !== undefined && {memory: this.memory}),
      refusalBeforeSend: () => this.sendGate.handoverRefusalOf(call, address),
      classify: (_status, responseHeaders) =>
        responseHeaders[handoverDeclinedHeader] === undefined
          ? 'ran'
          : 'refused',
    });
  }
}
