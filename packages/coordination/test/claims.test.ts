import test from 'ava';
import type {ClaimKey, ClaimRequest, HostId} from '../src/index.js';
import {
  chooseWitnesses,
  ClaimRefused_Code as RefusedCode,
  ClaimWitness,
  hostId,
  incarnation,
  perfectDelivery,
  buildMembershipView,
  VirtualClock,
  WitnessDirectory,
  WitnessParticipation,
} from '../src/index.js';
import {
  ClaimFleet,
  claimKey,
  describe,
  createMembers,
  textOutcome,
} from './tools/claim-fleet.js';

const names = ['h0', 'h1', 'h2'];
const membership = {members: createMembers(3, 3)};

async function newFleet(seed = 1) {
  const fleet = new ClaimFleet(seed);
  await fleet.startAll(names, membership);
  return fleet;
}

/** Claims `key` through `host` and marks it as sent. */
async function sendThrough(fleet: ClaimFleet, host: string, key: ClaimKey) {
  const decision = (await fleet.decide(host, key)).unwrapOrElse(refusal => {
    throw new TypeError(refusal.kind);
  });
  if (decision.kind !== 'run') throw new TypeError(decision.kind);
  decision.permit.markSending();
  return decision.permit;
}

test('witnesses spread over failure domains', t => {
  const view = buildMembershipView({
    members: createMembers(9, 4),
    witnesses: 5,
  });
  for (let index = 0; index < 200; index += 1) {
    const [set] = chooseWitnesses(view, claimKey(`k${index}`));
    const domains = set!.map(host => Number(host.slice(1)) % 4);
    t.is(new Set(set).size, 5);
    t.is(new Set(domains).size, 4);
  }
});

test('witnesses are an odd number of the members', t => {
  const countOf = (members: number) => {
    const view = buildMembershipView({members: createMembers(members, 2)});
    return chooseWitnesses(view, claimKey('k'))[0]!.length;
  };
  t.deepEqual([1, 2, 3, 4, 9].map(countOf), [1, 1, 3, 3, 3]);
});

test('a repeated try gets the outcome', async t => {
  const fleet = await newFleet();
  const permit = await sendThrough(fleet, 'h0', claimKey('k'));
  t.is(await fleet.clock.runUntil(permit.record(textOutcome('done'))), 3);
  const again = await fleet.decide('h1', claimKey('k'));
  t.deepEqual(again.unwrapOr(undefined), {
    kind: 'replay',
    outcome: textOutcome('done'),
  });
});

test('a try waits for one that runs', async t => {
  const fleet = await newFleet();
  const permit = await sendThrough(fleet, 'h0', claimKey('k'));
  const waiting = fleet.begin('h1', claimKey('k'));
  await fleet.clock.advance(500);
  void permit.record(textOutcome('done'));
  t.is(describe(await fleet.clock.runUntil(waiting)), 'replay');
});

test('a try that waits in vain is in progress', async t => {
  const fleet = await newFleet();
  await sendThrough(fleet, 'h0', claimKey('k'));
  t.is(describe(await fleet.decide('h1', claimKey('k'), 400)), 'in-progress');
});

test('an owner that is gone leaves the state unknown', async t => {
  const fleet = await newFleet();
  await sendThrough(fleet, 'h0', claimKey('k'));
  fleet.hosts.get('h0')!.machine.kill();
  t.is(describe(await fleet.decide('h1', claimKey('k'))), 'unknown');
  fleet.start('h0');
  await fleet.clock.advance(5000);
  for (const name of names)
    t.is(describe(await fleet.decide(name, claimKey('k'))), 'unknown');
});

test('an abandoned claim is free', async t => {
  const fleet = await newFleet();
  const first = await fleet.decide('h0', claimKey('k'));
  if (first.isOk && first.value.kind === 'run') first.value.permit.abandon();
  await fleet.clock.advance(10);
  t.is(describe(await fleet.decide('h1', claimKey('k'))), 'run');
});

test('a lost abandon is repeated when the owner is asked', async t => {
  const fleet = await newFleet();
  const first = await fleet.decide('h0', claimKey('k'));
  fleet.network.policy = () => ({...perfectDelivery, isDropped: true});
  if (first.isOk && first.value.kind === 'run') first.value.permit.abandon();
  await fleet.clock.advance(20_000);
  fleet.network.policy = () => perfectDelivery;
  t.is(describe(await fleet.decide('h1', claimKey('k'))), 'run');
});

test('a permit is used once and within its window', async t => {
  const fleet = await newFleet();
  const [used, late] = [
    await fleet.decide('h0', claimKey('k')),
    await fleet.decide('h0', claimKey('l')),
  ].map(result => {
    if (result.isErr || result.value.kind !== 'run') throw new TypeError();
    return result.value.permit;
  });
  const errorOf = (permit = used) => {
    const result = permit!.markSending();
    return result.isErr ? result.error.kind : undefined;
  };
  t.is(errorOf(used), undefined);
  t.is(errorOf(used), 'already-used');
  await fleet.clock.advance(1001);
  t.is(errorOf(late), 'window-passed');
});

test('another request under the same key is refused', async t => {
  const fleet = await newFleet();
  const permit = await sendThrough(fleet, 'h0', claimKey('k'));
  const other = claimKey('k', 'g');
  t.is(describe(await fleet.decide('h1', other)), 'fingerprint-differs');
  await fleet.clock.runUntil(permit.record(textOutcome('done')));
  t.is(describe(await fleet.decide('h1', other)), 'fingerprint-differs');
});

test('accounts and routes do not share keys', async t => {
  const fleet = await newFleet();
  const permit = await sendThrough(fleet, 'h0', claimKey('k'));
  await fleet.clock.runUntil(permit.record(textOutcome('secret')));
  const rival = {...claimKey('k'), account: 'b'};
  const elsewhere = {...claimKey('k'), route: 's'};
  t.is(describe(await fleet.decide('h1', rival)), 'run');
  t.is(describe(await fleet.decide('h1', elsewhere)), 'run');
});

test('a large body is not kept, but that it ran is', async t => {
  const fleet = await newFleet();
  const permit = await sendThrough(fleet, 'h0', claimKey('k'));
  const large = {...textOutcome(''), body: new Uint8Array(64 * 1024 + 1)};
  await fleet.clock.runUntil(permit.record(large));
  const again = await fleet.decide('h1', claimKey('k'));
  t.deepEqual(again.unwrapOr(undefined), {
    kind: 'replay',
    outcome: {...textOutcome(''), bodyOmitted: true},
  });
});

test('tries that split the votes do not run twice', async t => {
  const fleet = await newFleet();
  const tries = names.map(name => fleet.begin(name, claimKey('k'), 500));
  const results = await fleet.clock.runUntil(Promise.all(tries));
  const kinds = results.map(describe);
  t.true(kinds.filter(kind => kind === 'run').length <= 1);
  t.false(kinds.includes('unknown'));
});

test('without a majority nothing runs', async t => {
  const fleet = await newFleet();
  for (const name of ['h1', 'h2']) fleet.hosts.get(name)!.machine.kill();
  t.is(describe(await fleet.decide('h0', claimKey('k'))), 'not-run');
});

test('a first start abstains for the retention time', async t => {
  const fleet = new ClaimFleet(1);
  for (const name of names) {
    fleet.memberships.set(name, membership);
    fleet.start(name);
  }
  await fleet.clock.advance(599_000);
  t.is(describe(await fleet.decide('h0', claimKey('k'))), 'not-run');
  await fleet.clock.advance(1000);
  t.is(describe(await fleet.decide('h0', claimKey('k'))), 'run');
});

test('a restarted witness has read what it forgot', async t => {
  const fleet = await newFleet();
  const permit = await sendThrough(fleet, 'h0', claimKey('k'));
  await fleet.clock.runUntil(permit.record(textOutcome('done')));
  for (const name of names) {
    fleet.start(name);
    await fleet.clock.advance(3000);
    t.is(fleet.hosts.get(name)!.claims.witnessedClaims, 1);
  }
  t.is(describe(await fleet.decide('h0', claimKey('k'))), 'replay');
  t.is(describe(await fleet.decide('h0', claimKey('l'))), 'run');
});

test('witnesses with other lists do not vote', async t => {
  const fleet = await newFleet();
  const changed = {
    members: createMembers(3, 3, 3),
    previousMembers: membership.members,
  };
  for (const name of ['h1', 'h2']) fleet.memberships.set(name, changed);
  t.is(describe(await fleet.decide('h0', claimKey('k'))), 'not-run');
});

test('close waits for outcomes and refuses new tries', async t => {
  const fleet = await newFleet();
  const permit = await sendThrough(fleet, 'h0', claimKey('k'));
  const {claims} = fleet.hosts.get('h0')!;
  void permit.record(textOutcome('done'));
  await fleet.clock.runUntil(claims.close());
  t.is(describe(await fleet.decide('h1', claimKey('k'))), 'replay');
  t.is(describe(await fleet.decide('h0', claimKey('l'))), 'not-run');
});

/** One witness that takes part, asked directly by one host. */
async function newWitness(maximumClaims = 2) {
  const clock = new VirtualClock();
  const self = {host: hostId('h0'), incarnation: incarnation('1')};
  const directory = new WitnessDirectory(() => membership);
  const participation = new WitnessParticipation(clock, self.host, () =>
    directory.current(),
  );
  const bounds = {maximumClaims, maximumBodyBytes: 4, maximumTombstones: 1};
  const parts = {clock, self, directory, participation, bounds};
  const witness = new ClaimWitness(parts);
  await clock.advance(600_000);
  const {digest} = buildMembershipView(membership);
  const actions = {
    take: {$case: 'take', value: {listsDigest: digest}},
    abandon: {$case: 'abandon', value: {}},
    record: {$case: 'record', value: {outcome: textOutcome('12345')}},
  } as const satisfies Record<string, ClaimRequest['action']>;
  const ask = (
    action: keyof typeof actions,
    name: string,
    attempt: string,
    from: HostId = hostId('h1'),
  ) => {
    const owner = {host: 'h1', incarnation: '1', attempt};
    const request = {key: claimKey(name), owner, action: actions[action]};
    return witness.handle(request, {host: from, incarnation: self.incarnation})
      .result;
  };
  return {clock, ask};
}

test('an abandon that comes first refuses the take', async t => {
  const {ask} = await newWitness();
  t.is(ask('abandon', 'k', '1')?.$case, 'accepted');
  t.deepEqual(ask('take', 'k', '1'), {
    $case: 'refused',
    value: {code: RefusedCode.CODE_ABANDONED},
  });
  t.is(ask('take', 'k', '2')?.$case, 'granted');
});

test('a witness refuses new claims above its bound', async t => {
  const {ask} = await newWitness();
  ask('take', 'k', '1');
  ask('take', 'l', '2');
  t.deepEqual(ask('take', 'm', '3'), {
    $case: 'refused',
    value: {code: RefusedCode.CODE_FULL},
  });
  t.is(ask('take', 'k', '1')?.$case, 'granted');
});

test('an outcome is forgotten after the retention, a claim never', async t => {
  const {ask, clock} = await newWitness();
  ask('take', 'k', '1');
  ask('take', 'l', '2');
  ask('record', 'k', '1');
  await clock.advance(599_999);
  t.is(ask('take', 'k', '3')?.$case, 'held');
  await clock.advance(1);
  t.is(ask('take', 'k', '4')?.$case, 'granted');
  t.is(ask('take', 'l', '5')?.$case, 'held');
});

test('an attempt is taken by its owner only', async t => {
  const {ask} = await newWitness();
  t.deepEqual(ask('take', 'k', '1', hostId('h2')), {
    $case: 'refused',
    value: {code: RefusedCode.CODE_INVALID},
  });
});

test('a restarted witness needs every majority that counted it', async t => {
  const clock = new VirtualClock();
  const [h0, h1, h2, h3] = [0, 1, 2, 3].map(index => hostId(`h${index}`));
  const view = buildMembershipView({members: createMembers(5, 5)});
  const participation = new WitnessParticipation(clock, h0!, () => view);
  const coWitness = (isComplete: boolean, ...read: HostId[]) => ({
    isComplete,
    readMembers: new Set(read),
  });
  const set = [[h0!, h1!, h2!]];
  participation.noteRead(h1!, coWitness(true));
  participation.noteRead(h2!, coWitness(false, h3!));
  await clock.advance(1019);
  t.false(participation.mayVote(set));
  await clock.advance(1);
  t.false(participation.mayVote(set));
  t.false(participation.mayVote([[h0!, h1!, h3!]]));
  participation.noteRead(h2!, coWitness(true));
  t.true(participation.mayVote(set));
  t.false(participation.mayVote([...set, [h0!, h1!, h3!]]));
  t.false(participation.isComplete);
  await clock.advance(600_000);
  t.true(participation.mayVote([[h0!, h1!, h3!]]));
});
