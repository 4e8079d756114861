/** Finds the upstreams of pools that state a rate for cold ones. */

import type {ColdRule} from '../decisions/cold-upstreams.js';
import type {PoolDocument, UpstreamDocument} from '../generated/documents.js';
import {canDecode} from './can-decode.js';
import type {ColdRuleEntry} from './upstream-request-limits.js';
import type {UpstreamTable} from './upstream-table.js';

/** If an upstream is in several pools, the strictest values apply. */
export function coldRulesOf(
  pools: readonly PoolDocument[],
  upstreams: Pick<UpstreamTable, 'notLeavingOf'>,
): ColdRuleEntry[] {
  const entries = new Map<string, ColdRuleEntry>();
  for (const pool of pools)
    for (const document of upstreams.notLeavingOf(pool)) {
      const rule = ruleOf(pool, document);
      if (rule === undefined) continue;
      const known = entries.get(document.name)?.rule ?? rule;
      entries.set(document.name, {document, rule: strictest(rule, known)});
    }
  return [...entries.values()];
}

function ruleOf(
  {spec}: PoolDocument,
  {labels = {}}: UpstreamDocument,
): ColdRule | undefined {
  const {coldRequestsPerSecond = 0, coldMilliseconds = 0, engine} = spec;
  if (coldRequestsPerSecond === 0) return undefined;
  const hasReservation =
    (engine?.reservationMilliseconds ?? 0) > 0 && canDecode(labels);
  return {
    requestsPerSecond: coldRequestsPerSecond,
    coldMilliseconds,
    requestsPerCall: hasReservation ? 2 : 1,
  };
}

function strictest(left: ColdRule, right: ColdRule): ColdRule {
  return {
    requestsPerSecond: Math.min(
      left.requestsPerSecond,
      right.requestsPerSecond,
    ),
    coldMilliseconds: Math.max(left.coldMilliseconds, right.coldMilliseconds),
    requestsPerCall: Math.max(left.requestsPerCall, right.requestsPerCall),
  };
}
