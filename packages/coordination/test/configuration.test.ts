import test from 'ava';
import {
  applyChanges,
  buildConfiguration,
  findConfigurationWarnings,
  findMembershipTransitionFaults,
} from '../src/index.js';
import {account, hashOf, key, upstream} from './tools/documents.js';

const member = (host: string, failureDomain = 'd0') => ({
  host,
  failureDomain,
  address: `10.0.0.${host.slice(1)}:7000`,
});
const membership = (spec: object) => ({
  kind: 'Membership',
  name: 'fleet',
  spec,
});
const base = () =>
  buildConfiguration(1n, [
    account('a'),
    account('b'),
    key('k1', 'a'),
    key('k2', 'b'),
  ]).unwrapOrElse(faults => {
    throw new Error(JSON.stringify(faults));
  });
const reasons = (result: ReturnType<typeof applyChanges>) =>
  result.isErr ? result.error.map(fault => fault.reason) : [];

test('a delta is validated like a complete configuration', t => {
  const publish = (document: unknown) => ({kind: 'publish', document}) as const;
  const withdraw = (name: string) => ({kind: 'withdraw', key: name}) as const;
  t.deepEqual(
    reasons(applyChanges(base(), 2n, [withdraw('ClientAccount/a')])),
    ['no ClientAccount named a'],
  );
  t.deepEqual(reasons(applyChanges(base(), 2n, [publish(key('k3', 'c'))])), [
    'no ClientAccount named c',
  ]);
  const copy = {...key('k3', 'a'), spec: key('k1', 'a').spec};
  t.deepEqual(reasons(applyChanges(base(), 2n, [publish(copy)])), [
    'is already the hash of Key/k1',
  ]);
  t.true(
    applyChanges(base(), 2n, [publish(copy), withdraw('Key/k1')]).isOk,
    'a hash can move to another key document',
  );
});

test('applying a delta does not modify the indexes of its base', t => {
  const before = base();
  const after = applyChanges(before, 2n, [
    {kind: 'withdraw', key: 'Key/k1'},
  ]).unwrapOr(before);
  t.false(after.accountOfKey.has(hashOf('k1') as never));
  t.true(before.accountOfKey.has(hashOf('k1') as never));
  t.is(after.accounts, before.accounts);
});

test('routes are sorted by name regardless of their publication order', t => {
  const route = (name: string) => ({
    kind: 'Route',
    name,
    spec: {target: {kind: 'service', pathPrefix: `/${name}`, services: {}}},
  });
  const configuration = buildConfiguration(1n, [
    route('b'),
    route('a'),
  ]).unwrapOr(base());
  t.deepEqual(
    configuration.routes.map(each => each.name),
    ['a', 'b'],
  );
});

test('a key must be published under its own name', t => {
  const change = {kind: 'publish', key: 'Key/other', document: key('k3', 'a')};
  t.deepEqual(reasons(applyChanges(base(), 2n, [change as never])), [
    'is published under a different key: Key/other',
  ]);
});

test('duplicate or conflicting members and duplicate links are refused', t => {
  const moved = {...member('h1', 'd1'), address: '10.0.0.9:7000'};
  const check = (spec: object) =>
    reasons(buildConfiguration(1n, [membership(spec)]));
  t.is(check({members: [member('h1'), member('h1')]}).length, 2);
  t.is(check({members: [member('h1')], previousMembers: [moved]}).length, 2);
  const link = (name: string) => ({
    kind: 'Link',
    name,
    spec: {from: 'd0', to: 'd1', bytesPerSecond: 1},
  });
  t.is(reasons(buildConfiguration(1n, [link('l1'), link('l2')])).length, 1);
});

test('unmatched selectors and unknown failure domains cause only warnings', t => {
  const pool = {
    kind: 'Pool',
    name: 'p',
    spec: {role: 'service', upstreams: {matchLabels: {pool: 'none'}}},
  };
  const link = {
    kind: 'Link',
    name: 'l',
    spec: {from: 'd0', to: 'd9', bytesPerSecond: 1},
  };
  const built = buildConfiguration(1n, [upstream('u'), pool, link]);
  t.deepEqual(
    findConfigurationWarnings(built.unwrapOr(base())).map(each => each.reason),
    [
      'the selector matches no document',
      'no host or upstream is in failure domain d9',
    ],
  );
});

test('a shared preamble causes a warning that it has no effect', t => {
  const target = {
    kind: 'model',
    models: ['m'],
    prefill: {},
    decode: {},
    sharedPreamble: 'x',
  };
  const route = {kind: 'Route', name: 'r', spec: {target}};
  const built = buildConfiguration(1n, [route]).unwrapOr(base());
  const fields = findConfigurationWarnings(built).map(each => each.field);
  t.true(fields.includes('/spec/target/sharedPreamble'));
});

test('a membership change must list the previous members', t => {
  const withMembership = (spec: object) =>
    buildConfiguration(1n, [membership(spec)]).unwrapOr(base());
  const old = withMembership({members: [member('h1')]});
  const both = {members: [member('h2')], previousMembers: [member('h1')]};
  t.is(
    findMembershipTransitionFaults(
      old,
      withMembership({members: [member('h2')]}),
    ).length,
    1,
  );
  t.is(findMembershipTransitionFaults(old, withMembership(both)).length, 0);
  t.is(
    findMembershipTransitionFaults(
      withMembership(both),
      withMembership({members: [member('h2')]}),
    ).length,
    0,
  );
  t.is(
    findMembershipTransitionFaults(
      withMembership(both),
      withMembership({members: [member('h3')]}),
    ).length,
    1,
  );
});
