/** `persimmonwick histograms`: phase times and counters by account and class. */

import type {CommandModule} from 'yargs';
import type {CommandContext, HostOptions} from '../command-context.js';
import {addressOption} from '../host-option.js';
import {requestFromHost, reportError} from '../operator-client.js';
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
    describe: 'show phase times in milliseconds by client account and class',
    builder: command =>
      command.options(addressOption).option('account', {
        type: 'string',
        describe: 'show only this client account',
      }) as never,
    async handler(options) {
      const response = await requestFromHost<{accounts: AccountHistograms[]}>(
        options,
        '/histograms',
      );
      if (response.isErr) return reportError(context, response.error);
      const accounts = response.value.accounts.filter(
        ({account}) =>
          options.account === undefined || account === options.account,
      );
      if (options.json) return context.print(JSON.stringify({accounts}));
      for (const line of formatHistograms(accounts)) context.print(line);
    },
  };
}

function formatHistograms(accounts: readonly AccountHistograms[]): string[] {
  const times = accounts.flatMap(entry =>
    Object.entries(entry.phases).map(([phase, summary]) => [
      entry.account,
      entry.class,
      phase,
      String(summary.count),
      ...['p50', 'p95', 'p99'].map(name =>
        formatMilliseconds(summary.percentiles[name]),
      ),
      formatMilliseconds(summary.maximum),
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

function formatMilliseconds(milliseconds: number | undefined): string {
  return milliseconds === undefined ? '' : milliseconds.toFixed(1);
}
