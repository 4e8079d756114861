/** Plain services under the path prefixes that routes give. */

import {All, Controller, Inject, Req, Res} from '@nestjs/common';
import {accountId, findServiceRoute} from '@persimmonwick/coordination';
import type {RoutedServiceCall} from '@persimmonwick/coordination';
import type {FastifyReply, FastifyRequest} from 'fastify';
import {daemonPartsToken} from '../daemon-parts.js';
import type {DaemonParts} from '../daemon-parts.js';
import {authenticate} from './authenticate.js';
import {headerValues} from './call-context.js';
import {callRecordOf} from './call-record.js';
import {sendFailure} from './failure-reply.js';
import {forwardedHeaders} from './forwarded-headers.js';

@Controller()
export class ServicesController {
  constructor(@Inject(daemonPartsToken) private readonly parts: DaemonParts) {}

  @All('*')
  async forward(@Req() request: FastifyRequest, @Res() reply: FastifyReply) {
    const record = callRecordOf(request);
    const configuration = await this.parts.host.freshConfiguration();
    const account = authenticate(
      configuration,
      headerValues(request, 'authorization'),
    );
    if (account.isErr) return sendFailure(reply, account.error);
    const route = findServiceRoute(configuration, request.url, account.value);
    if (route.isErr) return sendFailure(reply, route.error);
    record.assign(account.value ?? accountId('open'), route.value);
    const {clock, host, requestMilliseconds} = this.parts;
    const key = request.headers['idempotency-key'];
    const call: RoutedServiceCall = {
      request: record.request,
      account: account.value,
      route: route.value,
      idempotencyKey: typeof key === 'string' && key !== '' ? key : undefined,
      deadline: clock.now() + requestMilliseconds,
      method: request.method,
      path: request.url,
      headers: forwardedHeaders(request.headers, record.request, account.value),
      body: request.body as Buffer | undefined,
    };
    const answer = await host.call(call, record.signal);
    if (answer.isErr) return sendFailure(reply, answer.error);
    record.observation?.firstToken();
    return reply
      .code(answer.value.status)
      .headers(answer.value.headers)
      .send(Buffer.from(answer.value.body));
  }
}
