import {readFileSync} from 'node:fs';
import {httpStatusOf} from '@persimmonwick/coordination';
import type {FailureCode} from '@persimmonwick/coordination';
import test from 'ava';
import {logEvents} from '../../src/log/catalogue.js';

const read = (path: string) =>
  readFileSync(new URL(`../../../../../${path}`, import.meta.url), 'utf8');

const rowsOf = (page: string) =>
  page
    .split('\n')
    .filter(line => /^\| *(`|\d)/.test(line))
    .map(line => line.split('|').map(cell => cell.trim().replaceAll('`', '')));

test('the events page matches the catalogue', t => {
  const rows = rowsOf(read('docs/EVENTS.md'));
  const listed = rows.map(([, number, name, level, text, fields]) => ({
    name,
    number: Number(number),
    level,
    text,
    fields: fields === '' ? [] : fields!.split(', '),
  }));
  const defined = Object.entries(logEvents).map(([name, definition]) => ({
    name,
    ...definition,
    fields: [...definition.fields] as string[],
  }));
  t.deepEqual(listed, defined);
});

test('event numbers are unique', t => {
  const numbers = Object.values(logEvents).map(({number}) => number as number);
  t.is(new Set(numbers).size, numbers.length);
});

test('the errors page lists every failure code with its status', t => {
  const source = read('packages/coordination/src/requests/failure.ts');
  const union = /export type FailureCode =([^;]*);/.exec(source)![1]!;
  const codes = [...union.matchAll(/'([a-z-]+)'/g)].map(match => match[1]!);
  const listed = rowsOf(read('docs/ERRORS.md')).map(
    ([, code, status]) => [code, Number(status)] as const,
  );
  t.deepEqual(
    Object.fromEntries(listed),
    Object.fromEntries(
      codes.map(code => [code, httpStatusOf(code as FailureCode)]),
    ),
  );
});
