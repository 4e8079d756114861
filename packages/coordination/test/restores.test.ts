import test from 'ava';
import {PeerVersions, RestoreEpochs, VirtualClock} from '../src/index.js';
import {UpstreamLifetimes} from '../src/passthrough/upstream-lifetimes.js';
import type {UpstreamDocument} from '../src/generated/documents.js';

test('reads prove nothing until the writers have repeated what a restore lost', async t => {
  const clock = new VirtualClock();
  const epochs = new RestoreEpochs(clock);
  t.is(epochs.observe(1), 'current');
  t.true(epochs.isSettled(), 'a store that was never restored');
  await clock.advance(1000);
  t.is(epochs.observe(2), 'restored');
  t.false(epochs.isSettled());
  t.is(epochs.observe(2), 'current');
  await clock.advance(2400);
  t.false(epochs.isSettled());
  await clock.advance(200);
  t.true(epochs.isSettled());
});

test('a late answer of the store before its restore is outdated', t => {
  const epochs = new RestoreEpochs(new VirtualClock());
  epochs.observe(4);
  t.is(epochs.observe(5), 'restored');
  t.is(epochs.observe(4), 'outdated');
  t.is(epochs.current, 5);
});

test('a process that starts after a restore waits unless a peer knows that it is over', async t => {
  const clock = new VirtualClock();
  const alone = new RestoreEpochs(clock);
  alone.observe(3);
  t.false(alone.isSettled());
  const informed = new RestoreEpochs(clock);
  informed.recordPeer(3, 60_000);
  informed.observe(3);
  t.true(informed.isSettled());
  alone.recordPeer(3, 500);
  t.false(alone.isSettled());
  alone.recordPeer(3, 60_000);
  t.true(alone.isSettled());
  const misled = new RestoreEpochs(clock);
  misled.recordPeer(2, 60_000);
  misled.observe(3);
  t.false(misled.isSettled(), 'the peer has not seen the restore');
});

test('an absurd epoch neither takes effect at once nor locks the host out', async t => {
  const clock = new VirtualClock();
  const epochs = new RestoreEpochs(clock);
  epochs.observe(2);
  t.is(epochs.observe(9e15), 'implausible');
  t.is(epochs.observe(2), 'current');
  await clock.advance(20_000);
  t.is(epochs.observe(9e15), 'implausible', 'it has not lasted');
  await clock.advance(5000);
  t.is(epochs.observe(0), 'outdated', 'another value starts anew');
  await clock.advance(9000);
  t.is(epochs.observe(0), 'outdated');
  await clock.advance(1000);
  t.is(epochs.observe(0), 'restored');
  epochs.recordPeer(9e15, 1e18);
  t.is(epochs.observe(0), 'current');
});

test('a version that a peer has in force makes older reads invalid for a time', async t => {
  const clock = new VirtualClock();
  const versions = new PeerVersions(clock);
  t.false(versions.provesLoss(5n, 0));
  await clock.advance(1000);
  versions.record(6n);
  t.false(versions.provesLoss(5n, 900), 'the read started before the report');
  await clock.advance(100);
  t.true(versions.provesLoss(5n, clock.now()));
  t.false(versions.provesLoss(6n, clock.now()));
  t.false(versions.provesLoss(7n, clock.now()));
  for (let second = 0; second < 10; second += 1) {
    await clock.advance(1000);
    versions.record(6n);
  }
  t.false(versions.provesLoss(5n, clock.now()), 'the report has expired');
});

const documentOf = (
  spec: Partial<UpstreamDocument['spec']>,
): UpstreamDocument => ({
  kind: 'Upstream',
  name: 's-1',
  spec: {address: '10.0.0.1:80', failureDomain: 'a', ...spec},
});

test('a process that is gone does not return in a copy, but may report again', t => {
  const lifetimes = new UpstreamLifetimes();
  const last = documentOf({startedAt: 100, reports: 7});
  lifetimes.recordGone(last);
  t.is(lifetimes.admit(last), undefined);
  t.is(lifetimes.admit(documentOf({startedAt: 100, reports: 5})), undefined);
  t.is(lifetimes.admit(documentOf({startedAt: 50, reports: 90})), undefined);
  const alive = documentOf({startedAt: 100, reports: 8});
  t.is(lifetimes.admit(alive), alive);
  const later = documentOf({startedAt: 200, reports: 1});
  t.is(lifetimes.admit(later), later);
  t.is(lifetimes.admit(later), later);
});

test('a process that is leaving stays so, and its successor does not', t => {
  const lifetimes = new UpstreamLifetimes();
  lifetimes.recordLeaving(documentOf({startedAt: 100, reports: 7}));
  const copy = documentOf({startedAt: 100, reports: 3, state: 'live'});
  t.is(lifetimes.admit(copy)?.spec.state, 'leaving');
  lifetimes.recordGone(documentOf({startedAt: 100, state: 'leaving'}));
  const returned = documentOf({startedAt: 100, reports: 9, state: 'live'});
  t.is(lifetimes.admit(returned)?.spec.state, 'leaving');
  const successor = documentOf({startedAt: 300, reports: 1, state: 'live'});
  t.is(lifetimes.admit(successor)?.spec.state, 'live');
});

test('without start times a later process of the same name is accepted', t => {
  const lifetimes = new UpstreamLifetimes();
  lifetimes.recordLeaving(documentOf({reports: 7}));
  t.is(lifetimes.admit(documentOf({reports: 8}))?.spec.state, 'leaving');
  t.is(lifetimes.admit(documentOf({reports: 1}))?.spec.state, undefined);
  lifetimes.recordLeaving(documentOf({reports: 7}));
  lifetimes.recordGone(documentOf({reports: 9}));
  t.is(lifetimes.admit(documentOf({reports: 10}))?.spec.state, undefined);
});

test('departures are bounded in number', t => {
  const lifetimes = new UpstreamLifetimes();
  for (let index = 0; index < 5000; index += 1)
    lifetimes.recordGone({
      ...documentOf({startedAt: 1, reports: 1}),
      name: `s-${index}`,
    });
  const listed = (name: string) => ({
    ...documentOf({startedAt: 1, reports: 1}),
    name,
  });
  t.is(lifetimes.admit(listed('s-4999')), undefined);
  t.not(lifetimes.admit(listed('s-0')), undefined);
});
