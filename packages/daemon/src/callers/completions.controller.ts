/** Chat completion and model list endpoints. */

import {
  Controller,
  Get,
  HttpCode,
  Inject,
  Post,
  Req,
  Res,
} from '@nestjs/common';
import {
  findModelRoute,
  canUseRoute,
  missingKeyFailure,
  anonymousAccount,
} from '@persimmonwick/coordination';
import type {
  AccountId,
  ChatRequest,
  CompletionRequest,
  RequestId,
  Route,
} from '@persimmonwick/coordination';
import type {FastifyReply, FastifyRequest} from 'fastify';
import {controllerDependenciesToken} from '../controller-dependencies.js';
import type {ControllerDependencies} from '../controller-dependencies.js';
import {authenticate} from './authenticate.js';
import {headerValues} from './request-headers.js';
import {callRecordOf} from './call-record.js';
import {
  estimateTokens,
  maximumTokensOf,
  parseChatRequest,
  promptOf,
} from './chat-request.js';
import {sendFailure} from './failure-reply.js';
import {sendStreamedResponse, sendJsonResponse} from './completion-response.js';
import {observeTokens} from './observe-tokens.js';

const okStatus = 200;

@Controller('v1')
export class CompletionsController {
  constructor(
    @Inject(controllerDependenciesToken)
    private readonly parts: ControllerDependencies,
  ) {}

  @Get('models')
  listModels(@Req() request: FastifyRequest, @Res() reply: FastifyReply) {
    // Unlike `complete`, this does not wait for a fresh configuration.
    const configuration = this.parts.configuration();
    const caller = authenticate(
      configuration,
      headerValues(request, 'authorization'),
    );
    if (caller.isErr) return sendFailure(reply, caller.error);
    const account = caller.value?.account;
    const routes = configuration.routes.filter(route =>
      canUseRoute(configuration, route, account),
    );
    if (routes.length === 0 && account === undefined)
      return sendFailure(reply, missingKeyFailure);
    const models = new Set(
      routes.flatMap(({spec}) =>
        spec.target.kind === 'model' ? spec.target.models : [],
      ),
    );
    const data = [...models].map(id => ({
      id,
      object: 'model',
      created: 0,
      owned_by: 'persimmonwick',
    }));
    return reply.send({object: 'list', data});
  }

  @Post('chat/completions')
  @HttpCode(okStatus)
  async complete(@Req() request: FastifyRequest, @Res() reply: FastifyReply) {
    const record = callRecordOf(request);
    const configuration = await this.parts.host.freshConfiguration();
    const caller = authenticate(
      configuration,
      headerValues(request, 'authorization'),
    );
    if (caller.isErr) return sendFailure(reply, caller.error);
    const account = caller.value?.account;
    const chat = parseChatRequest(request.body as Buffer | undefined);
    if (chat.isErr) return sendFailure(reply, chat.error);
    const route = findModelRoute(configuration, chat.value.model, account);
    if (route.isErr) return sendFailure(reply, route.error);
    const effectiveAccount = account ?? anonymousAccount;
    record.assign(effectiveAccount, route.value);
    if (caller.value !== undefined) record.bindToKey(caller.value.keyHash);
    const completionRequest = {
      ...this.createCompletionRequest(
        record.requestId,
        effectiveAccount,
        route.value,
        chat.value,
      ),
      keyHash: caller.value?.keyHash,
      observer: record.observation,
      deadline: record.deadline,
    };
    const events = observeTokens(
      this.parts.host.complete(completionRequest, record.signal),
      record.observation,
    );
    return chat.value.stream === true
      ? sendStreamedResponse(reply, completionRequest, events, record)
      : sendJsonResponse(reply, completionRequest, events);
  }

  private createCompletionRequest(
    requestId: RequestId,
    account: AccountId,
    route: Route,
    chat: ChatRequest,
  ): Omit<CompletionRequest, 'deadline'> {
    const prompt = promptOf(chat);
    return {
      request: requestId,
      account,
      route,
      model: chat.model,
      prompt,
      promptTokens: estimateTokens(prompt),
      maximumTokens: maximumTokensOf(chat),
    };
  }
}
