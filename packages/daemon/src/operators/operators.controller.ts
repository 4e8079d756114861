/** Endpoints of the HTTP server for operators. */

import {Controller, Get, Inject, Post, Query, Res} from '@nestjs/common';
import {accountId} from '@persimmonwick/coordination';
import type {FastifyReply} from 'fastify';
import {explainRequest} from './explain.js';
import type {ExplainedTarget} from './explain.js';
import {isReady, operatorDependenciesToken} from './operator-dependencies.js';
import type {OperatorDependencies} from './operator-dependencies.js';
import {requestPhases} from './request-statistics.js';

const acceptedStatus = 202;
const badRequestStatus = 400;
const notFoundStatus = 404;
const unavailableStatus = 503;

@Controller()
export class OperatorsController {
  constructor(
    @Inject(operatorDependenciesToken)
    private readonly dependencies: OperatorDependencies,
  ) {}

  /** Liveness: answers 200 while the process handles requests. */
  @Get('healthz')
  health() {
    return {isAlive: true};
  }

  /** Readiness: answers 200 while the host accepts requests from callers. */
  @Get('readyz')
  ready(@Res() reply: FastifyReply) {
    const isHostReady = isReady(this.dependencies);
    return reply
      .code(isHostReady ? 200 : unavailableStatus)
      .send({isReady: isHostReady});
  }

  /** Metrics in the Prometheus text format. */
  @Get('metrics')
  async metrics(@Res() reply: FastifyReply) {
    const {metricsPage} = this.dependencies;
    const text = await metricsPage.render();
    return reply.type(metricsPage.contentType).send(text);
  }

  /** State of this host, its peers and its upstreams. */
  @Get('status')
  status() {
    const {self, failureDomain, configuration, gate, peers, upstreams} =
      this.dependencies;
    return {
      host: self.host,
      incarnation: self.incarnation,
      failureDomain,
      version: configuration().version.toString(),
      inFlight: gate.inFlight,
      isDraining: gate.isDraining,
      isReady: isReady(this.dependencies),
      peers: peers?.() ?? [],
      upstreams: upstreams?.() ?? [],
    };
  }

  /** Counters and summaries of times by account and class. */
  @Get('histograms')
  histograms() {
    return {
      accounts: [...this.dependencies.metrics.entries()].map(
        ({account, serviceClass, statistics}) => ({
          account,
          class: serviceClass,
          finished: statistics.finished,
          goodput: statistics.goodput,
          refusedInsideRate: statistics.refusedInsideRate,
          wastedPrefillTokens: statistics.wastedPrefillTokens,
          failures: Object.fromEntries(statistics.failures),
          phases: Object.fromEntries(
            requestPhases.map(phase => [phase, statistics.summarize(phase)]),
          ),
        }),
      ),
    };
  }

  /** Explains the routing of a model or a path for an account. */
  @Get('explain')
  explain(@Query() query: Record<string, unknown>, @Res() reply: FastifyReply) {
    const target = parseTarget(query);
    if (target === undefined)
      return sendError(
        reply,
        badRequestStatus,
        'give exactly one of the query parameters path and model, once',
      );
    const configuration = this.dependencies.configuration();
    const {account} = query;
    if (account !== undefined && typeof account !== 'string')
      return sendError(
        reply,
        badRequestStatus,
        'give the query parameter account at most once',
      );
    const requestedAccount =
      account === undefined ? undefined : accountId(account);
    if (
      requestedAccount !== undefined &&
      !configuration.accounts.has(requestedAccount)
    )
      return sendError(
        reply,
        notFoundStatus,
        `account ${requestedAccount} does not exist`,
      );
    return reply.send(explainRequest(configuration, requestedAccount, target));
  }

  /** Starts draining and answers without waiting for the requests in flight. */
  @Post('drain')
  drain(@Res() reply: FastifyReply) {
    this.dependencies.startDraining();
    const {inFlight} = this.dependencies.gate;
    return reply.code(acceptedStatus).send({isDraining: true, inFlight});
  }
}

function parseTarget(
  query: Record<string, unknown>,
): ExplainedTarget | undefined {
  const {path, model} = query;
  if (typeof path === 'string' && model === undefined)
    return {kind: 'path', path};
  if (typeof model === 'string' && path === undefined)
    return {kind: 'model', model};
  return undefined;
}

function sendError(reply: FastifyReply, status: number, message: string) {
  return reply.code(status).send({error: {message}});
}
