import test from 'ava';
import {
  chooseGivenUp,
  minimumAllowanceBytes,
  responseAllowanceOf,
} from '../src/decisions/response-memory.js';
import {upstreamId} from '../src/ids.js';
import {ResponseMemory} from '../src/passthrough/response-memory.js';
import type {ResponseMemoryEvent} from '../src/passthrough/response-memory.js';

const budgetBytes = 1_000_000;
const upstream = upstreamId('s-1');

test('a response may hold anything while half of the budget is free', t => {
  const total = {budgetBytes, heldBytes: budgetBytes / 2, responses: 100};
  t.is(responseAllowanceOf(total), Infinity);
});

test('responses share the rest of the budget when memory is short', t => {
  const total = {budgetBytes, heldBytes: 600_000, responses: 10};
  t.is(responseAllowanceOf(total), 50_000);
  t.is(responseAllowanceOf({...total, responses: 1000}), minimumAllowanceBytes);
});

test('only the largest incomplete event is given up', t => {
  const responses = [
    {incompleteBytes: 0},
    {incompleteBytes: 300_000},
    {incompleteBytes: 200_000},
  ];
  const total = {budgetBytes, heldBytes: budgetBytes, responses: 3};
  t.is(chooseGivenUp(total, responses), undefined);
  const exceeded = {...total, heldBytes: budgetBytes + 1};
  t.is(chooseGivenUp(exceeded, responses), responses[1]);
  t.is(chooseGivenUp(exceeded, [{incompleteBytes: 0}]), undefined);
});

test('what a response holds is no longer counted after its end', t => {
  const memory = new ResponseMemory({budgetBytes});
  const ended = new AbortController();
  const held = memory.open(upstream, ended.signal, () => undefined);
  held.add(1000);
  held.setIncomplete(500);
  t.is(memory.heldBytes, 1500);
  held.add(-200);
  ended.abort();
  t.is(memory.heldBytes, 0);
  held.add(1000);
  t.is(memory.heldBytes, 0);
});

test('a response is given up once, and the sum is within the budget', t => {
  const events: ResponseMemoryEvent[] = [];
  const memory = new ResponseMemory({
    budgetBytes,
    onEvent: event => events.push(event),
  });
  const {signal} = new AbortController();
  let givenUp = 0;
  const responses = Array.from({length: 4}, () =>
    memory.open(upstream, signal, () => (givenUp += 1)),
  );
  for (const [index, held] of responses.entries())
    held.setIncomplete(260_000 + index);
  t.is(givenUp, 1);
  t.true(memory.heldBytes <= budgetBytes);
  t.deepEqual(
    events.map(({kind}) => kind),
    ['shortage', 'given-up'],
  );
  for (const held of responses) held.close();
  t.is(memory.heldBytes, 0);
  t.deepEqual(events.at(-1), {kind: 'shortage', isShort: false});
});
