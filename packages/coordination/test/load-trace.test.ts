import test from 'ava';
import {loadTrace} from '../src/index.js';

const good = `name: small
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

const faultOf = (text: string) =>
  loadTrace(text).match({Ok: () => undefined, Err: ([fault]) => fault});

test('a good trace has its defaults', t => {
  t.deepEqual(loadTrace(good).unwrapOr(undefined!)?.faults, []);
});

test('an unknown field has its line', t => {
  const fault = faultOf(good.replace('    path:', '    paths:'));
  t.is(fault?.line, 9);
  t.is(fault?.path, '/arrivals/0');
});

test('a wrong value has its line', t => {
  t.is(faultOf(good.replace('seed: 1', 'seed: one'))?.line, 3);
});

test('an unknown host has its line', t => {
  const fault = faultOf(good.replace('host: north-1\n', 'host: south-1\n'));
  t.is(fault?.line, 12);
  t.is(fault?.reason, 'no host named south-1 in the fleet');
});

test('broken YAML has its line', t => {
  t.is(faultOf(good.replace('seed: 1', 'seed: [1'))?.line, 4);
});
