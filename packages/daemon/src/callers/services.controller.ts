/** Plain services under the path prefixes that routes give. */

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
import {headerValues} from './call-context.js';
import {callRecordOf} from './call-record.js';
import {sendFailure} from './failure-reply.js';
import {forwardedHeaders} from './forwarded-headers.js';

const brokenAnswer: RequestFailure = {
  code: 'upstream-failed',
  message: 'the upstream broke off its answer',
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
    const {clock, host, requestMilliseconds} = this.parts;
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
    const key = request.headers['idempotency-key'];
    const call: RoutedServiceCall = {
      request: record.request,
      account,
      route: route.value,
      idempotencyKey: typeof key === 'string' && key !== '' ? key : undefined,
      deadline: clock.now() + requestMilliseconds,
      method: request.method,
      path: request.url,
      headers: forwardedHeaders(request.headers, record.request, account),
      body: request.body as Buffer | undefined,
    };
    const answer = await host.callService(call, record.signal);
    if (answer.isErr) return sendFailure(reply, answer.error);
    record.observation?.firstToken();
    const {status, headers} = answer.value;
    const body = Readable.from(answer.value.body, {objectMode: false});
    // The answer has begun: all that is left is to cut it, which its length or
    // its framing shows to the caller.
    body.once('error', () => record.fail(brokenAnswer));
    return reply.code(status).headers(headers).send(body);
  }
}
