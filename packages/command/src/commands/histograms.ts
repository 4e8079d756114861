/** `persimmonwick histograms`: times and counts by account and class. */

import type {CommandModule} from 'yargs';
import type {CommandContext, HostOptions} from '../command-context.js';
import {addressOption} from '../host-option.js';
import {askHost, reportError} from '../operator-client.js';
import {formatTable} from '../table.js';

interface PhaseSummary {
  readonly count: number;
  readonly maximum: number;
  readonly percentiles: Readonly<Record<string, number>>;
}

interface AccountHistograms {
  readonly account: string;
  readonly class: string;
  readonly finished: number;
  readonly goodput: number;
  readonly refusedInsideRate: number;
  readonly wastedPrefillTokens: number;
  readonly phases: Readonly<Record<string, PhaseSummary>>;
}

interface HistogramOptions extends HostOptions {
  readonly account?: string;
}

export function histogramsCommand(
  context: CommandContext,
): CommandModule<object, HistogramOptions> {
  return {
    command: 'histograms',
    describe: 'show times in milliseconds for each client account and class',
    builder: command =>
      command.options(addressOption).option('account', {
        type: 'string',
        describe: 'only this client account',
      }) as never,
    async handler(options) {
      const answer = await askHost<{accounts: AccountHistograms[]}>(
        options,
        '/histograms',
      );
      if (answer.isErr) return reportError(context, answer.error);
      const accounts = answer.value.accounts.filter(
        ({account}) =>
          options.account === undefined || account === options.account,
      );
      if (options.json) return context.print(JSON.stringify({accounts}));
      for (const line of describe(accounts)) context.print(line);
    },
  };
}

function describe(accounts: readonly AccountHistograms[]): string[] {
  const times = accounts.flatMap(entry =>
    Object.entries(entry.phases).map(([phase, summary]) => [
      entry.account,
      entry.class,
      phase,
      String(summary.count),
      ...['p50', 'p95', 'p99'].map(name => format(summary.percentiles[name])),
      format(summary.maximum),
    ]),
  );
  const counts = accounts.map(entry => [
    entry.account,
    entry.class,
    String(entry.finished),
    String(entry.goodput),
    String(entry.refusedInsideRate),
    String(entry.wastedPrefillTokens),
  ]);
  return [
    ...formatTable(
      ['ACCOUNT', 'CLASS', 'PHASE', 'COUNT', 'P50', 'P95', 'P99', 'MAX'],
      times,
    ),
    '',
    ...formatTable(
      [
        'ACCOUNT',
        'CLASS',
        'FINISHED',
        'GOODPUT',
        'REFUSED INSIDE RATE',
        'WASTED PREFILL TOKENS',
      ],
      counts,
    ),
  ];
}

function format(milliseconds: number | undefined): string {
  return milliseconds === undefined ? '' : milliseconds.toFixed(1);
}
