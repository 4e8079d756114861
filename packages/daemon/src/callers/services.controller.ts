/** Plain services under the path prefixes that routes give. */

import {All, Controller, Inject, Req, Res} from '@nestjs/common';
import {accountId} from '@persimmonwick/coordination';
import type {RequestFailure} from '@persimmonwick/coordination';
import type {FastifyReply, FastifyRequest} from 'fastify';
import {daemonPartsToken} from '../daemon-parts.js';
import type {DaemonParts} from '../daemon-parts.js';
import {authenticate} from './authenticate.js';
import {headerValues} from './call-context.js';
import {callRecordOf} from './call-record.js';
import {sendFailure} from './failure-reply.js';
import {findServiceRoute} from './find-route.js';
import type {ServiceCall} from './service-forwarder.js';
import {forwardedHeaders} from './service-forwarder.js';

const brokenAnswer: RequestFailure = {
  code: 'upstream-failed',
  message: 'the upstream broke off its answer',
  ran: 'ran',
};

@Controller()
export class ServicesController {
  constructor(@Inject(daemonPartsToken) private readonly parts: DaemonParts) {}

  @All('*')
  async forward(@Req() request: FastifyRequest, @Res() reply: FastifyReply) {
    const record = callRecordOf(request);
    const configuration = this.parts.configuration();
    const caller = authenticate(
      configuration,
      headerValues(request, 'authorization'),
    );
    if (caller.isErr) return sendFailure(reply, caller.error);
    const account = caller.value?.account;
    const route = findServiceRoute(configuration, request.url, account);
    if (route.isErr) return sendFailure(reply, route.error);
    record.assign(account ?? accountId('open'), route.value);
    const call: ServiceCall = {
      request: record.request,
      method: request.method,
      path: request.url,
      headers: forwardedHeaders(request.headers, record.request, account),
      body: request.body as Buffer | undefined,
    };
    const answer = await this.parts.services.forward(
      configuration,
      route.value,
      call,
      record.signal,
    );
    if (answer.isErr) return sendFailure(reply, answer.error);
    record.observation?.firstToken();
    const {status, headers, body} = answer.value;
    // The answer has begun: all that is left is to cut it, which its length or
    // its framing shows to the caller.
    body.once('error', () => record.fail(brokenAnswer));
    return reply.code(status).headers(headers).send(body);
  }
}
