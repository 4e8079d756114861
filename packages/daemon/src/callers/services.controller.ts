/** Plain services under the path prefixes that routes give. */

import {All, Controller, Inject, Req, Res} from '@nestjs/common';
import type {
  AccountId,
  Configuration,
  RequestFailure,
  Route,
} from '@persimmonwick/coordination';
import type {FastifyReply, FastifyRequest} from 'fastify';
import {Result} from 'true-myth';
import {daemonPartsToken} from '../daemon-parts.js';
import type {DaemonParts} from '../daemon-parts.js';
import {authenticate, mayUseRoute, routeRefusal} from './authenticate.js';
import {callerSignal, headerValues, requestIdOf} from './call-context.js';
import {sendFailure} from './failure-reply.js';
import type {ServiceCall} from './service-forwarder.js';
import {forwardedHeaders} from './service-forwarder.js';

@Controller()
export class ServicesController {
  constructor(@Inject(daemonPartsToken) private readonly parts: DaemonParts) {}

  @All('*')
  async forward(@Req() request: FastifyRequest, @Res() reply: FastifyReply) {
    const id = requestIdOf(request);
    reply.header('x-request-id', id);
    const configuration = this.parts.configuration();
    const account = authenticate(
      configuration,
      headerValues(request, 'authorization'),
    );
    if (account.isErr) return sendFailure(reply, account.error);
    const route = findServiceRoute(configuration, request.url, account.value);
    if (route.isErr) return sendFailure(reply, route.error);
    const call: ServiceCall = {
      request: id,
      method: request.method,
      path: request.url,
      headers: forwardedHeaders(request.headers, id, account.value),
      body: request.body as Buffer | undefined,
    };
    const answer = await this.parts.services.forward(
      configuration,
      route.value,
      call,
      callerSignal(reply),
    );
    if (answer.isErr) return sendFailure(reply, answer.error);
    return reply
      .code(answer.value.status)
      .headers(answer.value.headers)
      .send(answer.value.body);
  }
}

function findServiceRoute(
  configuration: Configuration,
  url: string,
  account: AccountId | undefined,
): Result<Route, RequestFailure> {
  const path = url.split('?')[0]!;
  if (isAmbiguousPath(path))
    return Result.err({
      code: 'invalid-request',
      message: 'the path has empty, relative or encoded segments',
      ran: 'not-run',
    });
  const candidates = configuration.routes
    .filter(route => hasPrefix(route, path))
    .sort((left, right) => prefixLength(right) - prefixLength(left));
  const route = candidates[0];
  if (route === undefined || !mayUseRoute(configuration, route, account)) {
    if (account === undefined) return Result.err(routeRefusal(account));
    return Result.err({
      code: 'route-not-found',
      message: 'no route of the client account has this path',
      ran: 'not-run',
    });
  }
  return Result.ok(route);
}

/** True for paths that a service could read as another path than we do. */
function isAmbiguousPath(path: string): boolean {
  return /\/\/|\\|%2e|%2f|%5c|%00|\/\.\.?(\/|$)/i.test(path);
}

function hasPrefix(route: Route, path: string): boolean {
  const {target} = route.spec;
  if (target.kind !== 'service') return false;
  const prefix = target.pathPrefix.replace(/\/$/, '');
  return path === prefix || path.startsWith(`${prefix}/`);
}

function prefixLength(route: Route): number {
  const {target} = route.spec;
  return target.kind === 'service' ? target.pathPrefix.length : 0;
}
