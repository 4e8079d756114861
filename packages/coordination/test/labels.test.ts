import test from 'ava';
import {matchesSelector} from '../src/index.js';

const labels = {member: 'batinah', tier: 'gold'};

test('empty selector matches all', t => {
  t.true(matchesSelector({}, labels));
});

test('matchLabels needs every label', t => {
  t.true(matchesSelector({matchLabels: {member: 'batinah'}}, labels));
  t.false(matchesSelector({matchLabels: {member: 'sohar'}}, labels));
});

test('matchExpressions needs every requirement', t => {
  const select = (operator: 'In' | 'NotIn', ...values: [string]) =>
    matchesSelector(
      {matchExpressions: [{key: 'tier', operator, values}]},
      labels,
    );
  t.true(select('In', 'gold'));
  t.false(select('NotIn', 'gold'));
  t.false(
    matchesSelector(
      {matchExpressions: [{key: 'tier', operator: 'DoesNotExist'}]},
      labels,
    ),
  );
});
