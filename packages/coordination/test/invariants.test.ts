import test from 'ava';
import {
  accountId,
  attemptId,
  checkInvariants,
  invariantConditions,
  hostId,
  requestId,
  routeId,
  upstreamId,
} from '../src/index.js';
import type {InvariantCondition, RunEvent} from '../src/index.js';

const batinah = accountId('batinah');
const engine = upstreamId('engine');
const host = hostId('host');
const request = requestId('r1');
const attempt = attemptId('a1');

const received = (id = request, at = 10): RunEvent => ({
  kind: 'request-received',
  at,
  request: id,
  host,
  key: 'secret',
  isKeyOptional: false,
  atMostOnceKey: {
    account: batinah,
    route: routeId('kits'),
    idempotencyKey: 'k',
  },
});

const ran = (id = request, at = 20): RunEvent => ({
  kind: 'upstream-ran',
  at,
  upstream: engine,
  request: id,
  account: batinah,
  phase: 'call',
  sent: 'body',
});

const answered = (
  answer: Extract<RunEvent, {kind: 'request-answered'}>['answer'],
  at = 40,
): RunEvent => ({kind: 'request-answered', at, request, answer});

const token = (offset: number, madeFor = request): RunEvent => ({
  kind: 'token-delivered',
  at: 30 + offset,
  request,
  offset,
  madeFor,
});

/** A run in which every invariant holds. */
const validRun: readonly RunEvent[] = [
  {
    kind: 'limit-published',
    at: 0,
    account: batinah,
    rateTokensPerSecond: 10,
    burstTokens: 100,
  },
  {kind: 'key-published', at: 0, key: 'secret', account: batinah},
  {kind: 'version-published', at: 0, version: 1n, hosts: [host]},
  {kind: 'version-in-force', at: 5, host, version: 1n},
  received(),
  {kind: 'tokens-used', at: 15, account: batinah, tokens: 100},
  {kind: 'memory-held', at: 16, upstream: engine, attempt, request},
  ran(),
  token(0),
  token(1),
  answered({kind: 'whole', tokens: 2}),
  {kind: 'memory-freed', at: 41, upstream: engine, attempt},
  {kind: 'run-ended', at: 100_000},
];

/** For each invariant, a variation of the valid run that violates it. */
const violatingRuns: Record<InvariantCondition, readonly RunEvent[]> = {
  'no-memory-held-by-gone-requests': validRun.filter(
    event => event.kind !== 'memory-freed',
  ),
  'no-second-answer': [...validRun, answered({kind: 'cut'}, 50)],
  'account-of-key-only': [
    ...validRun,
    {
      kind: 'key-published',
      at: 0,
      key: 'secret',
      account: accountId('rival'),
    },
  ],
  'rate-and-burst': [
    ...validRun,
    {kind: 'tokens-used', at: 115, account: batinah, tokens: 2},
  ],
  'whole-answer': validRun.filter(
    event => event.kind !== 'token-delivered' || event.offset !== 1,
  ),
  'not-run-is-true': [
    ...validRun.filter(event => event.kind !== 'request-answered'),
    answered({kind: 'failed', ran: 'not-run'}),
  ],
  'at-most-once': [
    ...validRun,
    received(requestId('r2'), 50),
    ran(requestId('r2'), 60),
  ],
  'leaving-upstream-gets-no-work': [
    ...validRun,
    {kind: 'upstream-leaving', at: 0, upstream: engine},
    received(requestId('r3'), 2_000),
    {...ran(requestId('r3'), 3_001)},
  ],
  'graceful-shutdown-cuts-nothing': [
    ...validRun.filter(event => event.kind !== 'request-answered'),
    {kind: 'drain-started', at: 30, host},
    answered({kind: 'cut'}),
  ],
  'configuration-in-force-and-forward': [
    ...validRun,
    {kind: 'version-in-force', at: 6, host, version: 0n},
  ],
};

test('a valid run has no violations', t => {
  t.deepEqual(checkInvariants(validRun), []);
});

for (const condition of invariantConditions)
  test(`a violation of ${condition} is reported`, t => {
    const found = checkInvariants(violatingRuns[condition]);
    t.true(found.some(violation => violation.condition === condition));
  });

test('a key in the content sent to an upstream is reported', t => {
  const leaked = validRun.map(event =>
    event.kind === 'upstream-ran' ? {...event, sent: 'x secret y'} : event,
  );
  t.is(checkInvariants(leaked)[0]?.condition, 'account-of-key-only');
});

test('a version that becomes active too late is reported', t => {
  const late = validRun.map(event =>
    event.kind === 'version-in-force' ? {...event, at: 7_001} : event,
  );
  t.is(
    checkInvariants(late)[0]?.condition,
    'configuration-in-force-and-forward',
  );
});

test('a request executed with a withdrawn key is reported', t => {
  const withdrawn: RunEvent[] = [
    ...validRun,
    {kind: 'key-withdrawn', at: 1_000, key: 'secret'},
    received(requestId('r4'), 8_001),
    ran(requestId('r4'), 8_002),
  ];
  const found = checkInvariants(withdrawn).map(({condition}) => condition);
  t.true(found.includes('account-of-key-only'));
});
