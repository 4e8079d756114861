/** The pages of the operators' server. */

import {Controller, Get, Inject, Post, Query, Res} from '@nestjs/common';
import {accountId} from '@persimmonwick/coordination';
import type {FastifyReply} from 'fastify';
import {explainRequest} from './explain.js';
import type {ExplainedTarget} from './explain.js';
import {isReady, operatorPartsToken} from './operator-parts.js';
import type {OperatorParts} from './operator-parts.js';
import {requestPhases} from './request-statistics.js';

const acceptedStatus = 202;
const badRequestStatus = 400;
const notFoundStatus = 404;
const unavailableStatus = 503;

@Controller()
export class OperatorsController {
  constructor(
    @Inject(operatorPartsToken) private readonly parts: OperatorParts,
  ) {}

  /** The process answers. */
  @Get('healthz')
  health() {
    return {isAlive: true};
  }

  /** The host takes requests of callers. */
  @Get('readyz')
  ready(@Res() reply: FastifyReply) {
    const ready = isReady(this.parts);
    return reply.code(ready ? 200 : unavailableStatus).send({isReady: ready});
  }

  @Get('metrics')
  async metrics(@Res() reply: FastifyReply) {
    const {metricsPage} = this.parts;
    const text = await metricsPage.read();
    return reply.type(metricsPage.contentType).send(text);
  }

  @Get('status')
  status() {
    const {self, failureDomain, configuration, gate, peers, upstreams} =
      this.parts;
    return {
      host: self.host,
      incarnation: self.incarnation,
      failureDomain,
      version: configuration().version.toString(),
      inFlight: gate.inFlight,
      isDraining: gate.isDraining,
      isReady: isReady(this.parts),
      peers: peers?.() ?? [],
      upstreams: upstreams?.() ?? [],
    };
  }

  @Get('histograms')
  histograms() {
    return {
      accounts: [...this.parts.metrics.entries()].map(
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

  @Get('explain')
  explain(@Query() query: Record<string, unknown>, @Res() reply: FastifyReply) {
    const target = targetOf(query);
    if (target === undefined)
      return sendError(
        reply,
        badRequestStatus,
        'give either path or model, once',
      );
    const configuration = this.parts.configuration();
    const {account} = query;
    if (account !== undefined && typeof account !== 'string')
      return sendError(reply, badRequestStatus, 'give account once');
    const asked = account === undefined ? undefined : accountId(account);
    if (asked !== undefined && !configuration.accounts.has(asked))
      return sendError(reply, notFoundStatus, `no account named ${asked}`);
    return reply.send(explainRequest(configuration, asked, target));
  }

  @Post('drain')
  drain(@Res() reply: FastifyReply) {
    this.parts.startDraining();
    const {inFlight} = this.parts.gate;
    return reply.code(acceptedStatus).send({isDraining: true, inFlight});
  }
}

function targetOf(query: Record<string, unknown>): ExplainedTarget | undefined {
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
