import test from 'ava';
import {loadTrace} from '../src/index.js';

const validTrace = `name: small
covers: {conditions: [whole-answer], failures: []}
seed: 1
durationMilliseconds: 1000
fleet:
  hosts: [{host: north-1, failureDomain: north}]
  accounts: [{name: batinah, rateTokensPerSecond: 10, burstTokens: 100}]
arrivals:
  - kind: call
    at: 5
    request: r1
    host: north-1
    path: /orders/1
outcomes:
  - {request: r1, answers: [{kind: whole}]}
`;

const firstFaultOf = (text: string) =>
  loadTrace(text).match({Ok: () => undefined, Err: ([fault]) => fault});

test('loads a valid trace with default values', t => {
  t.deepEqual(loadTrace(validTrace).unwrapOr(undefined!)?.faults, []);
});

test('reports the line of an unknown field', t => {
  const fault = firstFaultOf(validTrace.replace('    path:', '    paths:'));
  t.is(fault?.line, 9);
  t.is(fault?.path, '/arrivals/0');
});

test('reports the line of an invalid value', t => {
  t.is(firstFaultOf(validTrace.replace('seed: 1', 'seed: one'))?.line, 3);
});

test('reports the line of an unknown host', t => {
  const fault = firstFaultOf(
    validTrace.replace('host: north-1\n', 'host: south-1\n'),
  );
  t.is(fault?.line, 12);
  t.is(fault?.reason, 'no host named south-1 in the fleet');
});

test('reports the line of a YAML syntax error', t => {
  t.is(firstFaultOf(validTrace.replace('seed: 1', 'seed: [1'))?.line, 4);
});
