/** Forwards calls to plain services by the path prefixes of routes. */

import {Readable} from 'node:stream';
import {All, Controller, Inject, Req, Res} from '@nestjs/common';
import {findServiceRoute, anonymousAccount} from '@persimmonwick/coordination';
import type {
  RequestFailure,
  RoutedServiceCall,
} from '@persimmonwick/coordination';
import type {FastifyReply, FastifyRequest} from 'fastify';
import {controllerDependenciesToken} from '../controller-dependencies.js';
import type {ControllerDependencies} from '../controller-dependencies.js';
import {authenticate} from './authenticate.js';
import {headerValues} from './request-headers.js';
import {callRecordOf} from './call-record.js';
import {sendFailure} from './failure-reply.js';
import {forwardedHeaders} from './forwarded-headers.js';

const brokenResponseFailure: RequestFailure = {
  code: 'upstream-failed',
  message: 'the upstream ended its response early',
  ran: 'ran',
};

@Controller()
export class ServicesController {
  constructor(
    @Inject(controllerDependenciesToken)
    private readonly parts: ControllerDependencies,
  ) {}

  @All('*')
  async forward(@Req() request: FastifyRequest, @Res() reply: FastifyReply) {
    const record = callRecordOf(request);
    const {host} = this.parts;
    const configuration = await host.freshConfiguration();
    const caller = authenticate(
      configuration,
      headerValues(request, 'authorization'),
    );
    if (caller.isErr) return sendFailure(reply, caller.error);
    const account = caller.value?.account;
    const route = findServiceRoute(configuration, request.url, account);
    if (route.isErr) return sendFailure(reply, route.error);
    record.assign(account ?? anonymousAccount, route.value);
    const idempotencyKey = request.headers['idempotency-key'];
    const call: RoutedServiceCall = {
      request: record.requestId,
      account,
      route: route.value,
      idempotencyKey:
        typeof idempotencyKey === 'string' && idempotencyKey !== ''
          ? idempotencyKey
          : undefined,
      deadline: record.deadline,
      method: request.method,
      path: request.url,
      headers: forwardedHeaders(request.headers, record.requestId, account),
      body: request.body as Buffer | undefined,
    };
    const response = await host.callService(call, record.signal);
    if (response.isErr) return sendFailure(reply, response.error);
    // Metrics count the response head of a service as its first token.
    record.observation?.firstToken();
    const {status, headers} = response.value;
    const body = Readable.from(response.value.body, {objectMode: false});
    // The response has already started and can only be truncated, which the
    // caller detects from the content length or the chunked framing.
    body.once('error', () => record.recordFailure(brokenResponseFailure));
    return reply.code(status).headers(headers).send(body);
  }
}
