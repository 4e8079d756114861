/** `persimmonwick explain`: the route and upstreams that a request would get. */

import type {Explanation} from '@persimmonwick/daemon';
import type {CommandModule} from 'yargs';
import {exitStatus} from '../command-context.js';
import type {CommandContext, HostOptions} from '../command-context.js';
import {addressOption} from '../host-option.js';
import {askHost, reportError} from '../operator-client.js';
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
    describe: 'show which route and upstreams a request would get, and why',
    builder: command =>
      command
        .options(addressOption)
        .option('account', {
          type: 'string',
          describe: 'client account; a call without key when absent',
        })
        .option('path', {type: 'string', describe: 'path of a plain service'})
        .option('model', {type: 'string', describe: 'model of a completion'})
        .conflicts('path', 'model')
        .check(({path, model}) => {
          if (path === undefined && model === undefined)
            throw new ExplainUsageError();
          return true;
        }) as never,
    async handler(options) {
      const answer = await askHost<Explanation>(options, pathOf(options));
      if (answer.isErr) return reportError(context, answer.error);
      if (answer.value.route === undefined) context.end(exitStatus.negative);
      if (options.json) return context.print(JSON.stringify(answer.value));
      for (const line of describe(answer.value)) context.print(line);
    },
  };
}

/** Neither a path nor a model was given. */
class ExplainUsageError extends Error {
  constructor() {
    super('give --path or --model');
  }
}

function pathOf({account, path, model}: ExplainOptions): string {
  const query = new URLSearchParams();
  for (const [name, value] of Object.entries({account, path, model}))
    if (value !== undefined) query.set(name, value);
  return `/explain?${query}`;
}

function describe(explanation: Explanation): string[] {
  const outcome =
    explanation.route === undefined
      ? `refused: ${explanation.refusal}`
      : `route: ${explanation.route}`;
  const why = (choice: {isUsable: boolean; reasons: readonly string[]}) =>
    choice.isUsable ? 'used' : choice.reasons.join('; ');
  return [
    `version: ${explanation.version}`,
    outcome,
    '',
    ...formatTable(
      ['ROUTE', 'WHY'],
      explanation.routes.map(route => [route.name, why(route)]),
    ),
    '',
    ...formatTable(
      ['UPSTREAM', 'ADDRESS', 'POOL', 'ROLE', 'WHY'],
      explanation.upstreams.map(upstream => [
        upstream.name,
        upstream.address,
        upstream.pool,
        upstream.role,
        why(upstream),
      ]),
    ),
  ];
}
