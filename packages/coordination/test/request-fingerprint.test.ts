import test from 'ava';
import {fingerprintOf} from '../src/requests/request-fingerprint.js';

const request = {
  method: 'POST',
  host: 'calls.example',
  target: '/orders/a',
  body: Buffer.from('text'),
};

test('repetitions of a request have one fingerprint', t => {
  t.is(fingerprintOf(request, 'first'), fingerprintOf({...request}, 'first'));
});

test('requests that differ in one respect have other fingerprints', t => {
  const all = [
    fingerprintOf(request, 'first'),
    fingerprintOf(request, 'second'),
    fingerprintOf({...request, method: 'PUT'}, 'first'),
    fingerprintOf({...request, host: 'other.example'}, 'first'),
    fingerprintOf({...request, target: '/orders/a?b'}, 'first'),
    fingerprintOf(
      {...request, target: '/orders/', body: Buffer.from('atext')},
      'first',
    ),
    fingerprintOf({...request, body: Buffer.from('texu')}, 'first'),
  ];
  t.is(new Set(all).size, all.length);
});

test('long bodies that differ at an end or in length are told apart', t => {
  const long = Buffer.alloc(10_000_000, 'x');
  const of = (body: Uint8Array) => fingerprintOf({...request, body}, 'first');
  const changed = (index: number) => {
    const copy = Buffer.from(long);
    copy[index] = 0;
    return copy;
  };
  const all = [
    of(long),
    of(long.subarray(1)),
    of(changed(0)),
    of(changed(60_000)),
    of(changed(long.length - 1)),
  ];
  t.is(new Set(all).size, all.length);
});
