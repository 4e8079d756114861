import test from 'ava';
import {matchesSelector} from '../src/index.js';

const labels = {member: 'batinah', tier: 'gold'};

test('an empty selector matches all labels', t => {
  t.true(matchesSelector({}, labels));
});

test('matchLabels requires every label', t => {
  t.true(matchesSelector({matchLabels: {member: 'batinah'}}, labels));
  t.false(matchesSelector({matchLabels: {member: 'sohar'}}, labels));
});

test('matchExpressions requires every expression to match', t => {
  const matches = (operator: 'In' | 'NotIn', ...values: [string]) =>
    matchesSelector(
      {matchExpressions: [{key: 'tier', operator, values}]},
      labels,
    );
  t.true(matches('In', 'gold'));
  t.false(matches('NotIn', 'gold'));
  t.false(
    matchesSelector(
      {matchExpressions: [{key: 'tier', operator: 'DoesNotExist'}]},
      labels,
    ),
  );
});
