/** `persimmonwick explain`: the eligible route and upstreams of a request. */

import type {Explanation} from '@persimmonwick/daemon';
import type {CommandModule} from 'yargs';
import {exitStatus} from '../command-context.js';
import type {CommandContext, HostOptions} from '../command-context.js';
import {addressOption} from '../host-option.js';
import {requestFromHost, reportError} from '../operator-client.js';
import {formatTable} from '../table.js';

interface ExplainOptions extends HostOptions {
  readonly account?: string;
  readonly path?: string;
  readonly model?: string;
}

export function explainCommand(
  context: CommandContext,
): CommandModule<object, ExplainOptions> {
  return {
    command: 'explain',
    describe:
      'show the eligible route and upstreams of a request, with reasons',
    builder: command =>
      command
        .options(addressOption)
        .option('account', {
          type: 'string',
          describe: 'client account; if omitted, a request without a key',
        })
        .option('path', {type: 'string', describe: 'request path of a service'})
        .option('model', {
          type: 'string',
          describe: 'model of a completion request',
        })
        .conflicts('path', 'model')
        .check(({path, model}) => {
          if (path === undefined && model === undefined)
            throw new ExplainUsageError();
          return true;
        }) as never,
    async handler(options) {
      const response = await requestFromHost<Explanation>(
        options,
        buildPath(options),
      );
      if (response.isErr) return reportError(context, response.error);
      if (response.value.route === undefined)
        context.setExitStatus(exitStatus.unsuccessful);
      if (options.json) return context.print(JSON.stringify(response.value));
      for (const line of formatExplanation(response.value)) context.print(line);
    },
  };
}

/** Neither `--path` nor `--model` is given. */
class ExplainUsageError extends Error {
  constructor() {
    super('either --path or --model is required');
  }
}

function buildPath({account, path, model}: ExplainOptions): string {
  const query = new URLSearchParams();
  for (const [name, value] of Object.entries({account, path, model}))
    if (value !== undefined) query.set(name, value);
  return `/explain?${query}`;
}

function formatExplanation(explanation: Explanation): string[] {
  const outcome =
    explanation.route === undefined
      ? `refused: ${explanation.refusal}`
      : `route: ${explanation.route}`;
  const toReason = (choice: {isUsable: boolean; reasons: readonly string[]}) =>
    choice.isUsable ? 'used' : choice.reasons.join('; ');
  return [
    `version: ${explanation.version}`,
    outcome,
    '',
    ...formatTable(
      ['ROUTE', 'WHY'],
      explanation.routes.map(route => [route.name, toReason(route)]),
    ),
    '',
    ...formatTable(
      ['UPSTREAM', 'ADDRESS', 'POOL', 'ROLE', 'WHY'],
      explanation.upstreams.map(upstream => [
        upstream.name,
        upstream.address,
        upstream.pool,
        upstream.role,
        toReason(upstream),
      ]),
    ),
  ];
}
