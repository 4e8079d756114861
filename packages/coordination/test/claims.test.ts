import test from 'ava';
import type {ClaimKey, ClaimRequest, HostId} from '../src/index.js';
import {
  chooseWitnesses,
  ClaimRefused_Code as RefusedCode,
  ClaimWitness,
  hostId,
  incarnation,
  immediateDelivery,
  buildMembershipView,
  VirtualClock,
  MembershipViewCache,
  WitnessParticipation,
} from '../src/index.js';
import {
  ClaimFleet,
  claimKey,
  resultKind,
  createMembers,
  textOutcome,
} from './tools/claim-fleet.js';

const names = ['h0', 'h1', 'h2'];
const membership = {members: createMembers(3, 3)};

async function createFleet(seed = 1) {
  const fleet = new ClaimFleet(seed);
  await fleet.startAll(names, membership);
  return fleet;
}

/** Claims `key` through `host` and marks the request as sent. */
async function sendThrough(fleet: ClaimFleet, host: string, key: ClaimKey) {
  const decision = (await fleet.beginAndAdvance(host, key)).unwrapOrElse(
    refusal => {
      throw new TypeError(refusal.kind);
    },
  );
  if (decision.kind !== 'run') throw new TypeError(decision.kind);
  decision.permit.markSending();
  return decision.permit;
}

test('witnesses are spread over failure domains', t => {
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

test('the number of witnesses is odd', t => {
  const countOf = (members: number) => {
    const view = buildMembershipView({members: createMembers(members, 2)});
    return chooseWitnesses(view, claimKey('k'))[0]!.length;
  };
  t.deepEqual([1, 2, 3, 4, 9].map(countOf), [1, 1, 3, 3, 3]);
});

test('a repeated call replays the outcome', async t => {
  const fleet = await createFleet();
  const permit = await sendThrough(fleet, 'h0', claimKey('k'));
  t.is(await fleet.clock.runUntil(permit.record(textOutcome('done'))), 3);
  const repeated = await fleet.beginAndAdvance('h1', claimKey('k'));
  t.deepEqual(repeated.unwrapOr(undefined), {
    kind: 'replay',
    outcome: textOutcome('done'),
  });
});

test('a call waits for an attempt in progress', async t => {
  const fleet = await createFleet();
  const permit = await sendThrough(fleet, 'h0', claimKey('k'));
  const waiting = fleet.begin('h1', claimKey('k'));
  await fleet.clock.advance(500);
  void permit.record(textOutcome('done'));
  t.is(resultKind(await fleet.clock.runUntil(waiting)), 'replay');
});

test('a call that reaches its deadline is refused as in progress', async t => {
  const fleet = await createFleet();
  await sendThrough(fleet, 'h0', claimKey('k'));
  t.is(
    resultKind(await fleet.beginAndAdvance('h1', claimKey('k'), 400)),
    'in-progress',
  );
});

test('the outcome is unknown after the owner is killed', async t => {
  const fleet = await createFleet();
  await sendThrough(fleet, 'h0', claimKey('k'));
  fleet.hosts.get('h0')!.machine.kill();
  t.is(resultKind(await fleet.beginAndAdvance('h1', claimKey('k'))), 'unknown');
  fleet.start('h0');
  await fleet.clock.advance(5000);
  for (const name of names)
    t.is(
      resultKind(await fleet.beginAndAdvance(name, claimKey('k'))),
      'unknown',
    );
});

test('an abandoned key can be claimed again', async t => {
  const fleet = await createFleet();
  const first = await fleet.beginAndAdvance('h0', claimKey('k'));
  if (first.isOk && first.value.kind === 'run') first.value.permit.abandon();
  await fleet.clock.advance(10);
  t.is(resultKind(await fleet.beginAndAdvance('h1', claimKey('k'))), 'run');
});

test('an owner query resends an abandon message that was lost', async t => {
  const fleet = await createFleet();
  const first = await fleet.beginAndAdvance('h0', claimKey('k'));
  fleet.network.policy = () => ({...immediateDelivery, isDropped: true});
  if (first.isOk && first.value.kind === 'run') first.value.permit.abandon();
  await fleet.clock.advance(20_000);
  fleet.network.policy = () => immediateDelivery;
  t.is(resultKind(await fleet.beginAndAdvance('h1', claimKey('k'))), 'run');
});

test('a permit is valid once and within the claim window', async t => {
  const fleet = await createFleet();
  const [used, late] = [
    await fleet.beginAndAdvance('h0', claimKey('k')),
    await fleet.beginAndAdvance('h0', claimKey('l')),
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

test('a different request with the same key is refused', async t => {
  const fleet = await createFleet();
  const permit = await sendThrough(fleet, 'h0', claimKey('k'));
  const other = claimKey('k', 'g');
  t.is(
    resultKind(await fleet.beginAndAdvance('h1', other)),
    'fingerprint-differs',
  );
  await fleet.clock.runUntil(permit.record(textOutcome('done')));
  t.is(
    resultKind(await fleet.beginAndAdvance('h1', other)),
    'fingerprint-differs',
  );
});

test('accounts and routes do not share keys', async t => {
  const fleet = await createFleet();
  const permit = await sendThrough(fleet, 'h0', claimKey('k'));
  await fleet.clock.runUntil(permit.record(textOutcome('secret')));
  const otherAccount = {...claimKey('k'), account: 'b'};
  const otherRoute = {...claimKey('k'), route: 's'};
  t.is(resultKind(await fleet.beginAndAdvance('h1', otherAccount)), 'run');
  t.is(resultKind(await fleet.beginAndAdvance('h1', otherRoute)), 'run');
});

test('an outcome with a large body is recorded without the body', async t => {
  const fleet = await createFleet();
  const permit = await sendThrough(fleet, 'h0', claimKey('k'));
  const large = {...textOutcome(''), body: new Uint8Array(64 * 1024 + 1)};
  await fleet.clock.runUntil(permit.record(large));
  const repeated = await fleet.beginAndAdvance('h1', claimKey('k'));
  t.deepEqual(repeated.unwrapOr(undefined), {
    kind: 'replay',
    outcome: {...textOutcome(''), bodyOmitted: true},
  });
});

test('at most one of several competing calls is permitted', async t => {
  const fleet = await createFleet();
  const calls = names.map(name => fleet.begin(name, claimKey('k'), 500));
  const results = await fleet.clock.runUntil(Promise.all(calls));
  const kinds = results.map(resultKind);
  t.true(kinds.filter(kind => kind === 'run').length <= 1);
  t.false(kinds.includes('unknown'));
});

test('a call is refused without a majority', async t => {
  const fleet = await createFleet();
  for (const name of ['h1', 'h2']) fleet.hosts.get(name)!.machine.kill();
  t.is(resultKind(await fleet.beginAndAdvance('h0', claimKey('k'))), 'not-run');
});

test('witnesses abstain for the retention time after the first start', async t => {
  const fleet = new ClaimFleet(1);
  for (const name of names) {
    fleet.memberships.set(name, membership);
    fleet.start(name);
  }
  await fleet.clock.advance(599_000);
  t.is(resultKind(await fleet.beginAndAdvance('h0', claimKey('k'))), 'not-run');
  await fleet.clock.advance(1000);
  t.is(resultKind(await fleet.beginAndAdvance('h0', claimKey('k'))), 'run');
});

test('a restarted witness recovers its claims from co-witnesses', async t => {
  const fleet = await createFleet();
  const permit = await sendThrough(fleet, 'h0', claimKey('k'));
  await fleet.clock.runUntil(permit.record(textOutcome('done')));
  for (const name of names) {
    fleet.start(name);
    await fleet.clock.advance(3000);
    t.is(fleet.hosts.get(name)!.claims.witnessedClaimCount, 1);
  }
  t.is(resultKind(await fleet.beginAndAdvance('h0', claimKey('k'))), 'replay');
  t.is(resultKind(await fleet.beginAndAdvance('h0', claimKey('l'))), 'run');
});

test('witnesses with different member lists do not vote', async t => {
  const fleet = await createFleet();
  const changed = {
    members: createMembers(3, 3, 3),
    previousMembers: membership.members,
  };
  for (const name of ['h1', 'h2']) fleet.memberships.set(name, changed);
  t.is(resultKind(await fleet.beginAndAdvance('h0', claimKey('k'))), 'not-run');
});

test('close waits for outcomes and refuses new calls', async t => {
  const fleet = await createFleet();
  const permit = await sendThrough(fleet, 'h0', claimKey('k'));
  const {claims} = fleet.hosts.get('h0')!;
  void permit.record(textOutcome('done'));
  await fleet.clock.runUntil(claims.close());
  t.is(resultKind(await fleet.beginAndAdvance('h1', claimKey('k'))), 'replay');
  t.is(resultKind(await fleet.beginAndAdvance('h0', claimKey('l'))), 'not-run');
});

/** Creates one witness that votes on every key; requests reach it directly. */
async function createWitness(maximumClaims = 2) {
  const clock = new VirtualClock();
  const self = {host: hostId('h0'), incarnation: incarnation('1')};
  const membershipViews = new MembershipViewCache(() => membership);
  const participation = new WitnessParticipation(clock, self.host, () =>
    membershipViews.current(),
  );
  const limits = {maximumClaims, maximumBodyBytes: 4, maximumTombstones: 1};
  const parts = {clock, self, membershipViews, participation, limits};
  const witness = new ClaimWitness(parts);
  await clock.advance(600_000);
  const {digest} = buildMembershipView(membership);
  const actions = {
    take: {$case: 'take', value: {listsDigest: digest}},
    abandon: {$case: 'abandon', value: {}},
    record: {$case: 'record', value: {outcome: textOutcome('12345')}},
  } as const satisfies Record<string, ClaimRequest['action']>;
  const send = (
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
  return {clock, send};
}

test('a take is refused after an abandon of the same attempt', async t => {
  const {send} = await createWitness();
  t.is(send('abandon', 'k', '1')?.$case, 'accepted');
  t.deepEqual(send('take', 'k', '1'), {
    $case: 'refused',
    value: {code: RefusedCode.CODE_ABANDONED},
  });
  t.is(send('take', 'k', '2')?.$case, 'granted');
});

test('a witness refuses new claims when its table is full', async t => {
  const {send} = await createWitness();
  send('take', 'k', '1');
  send('take', 'l', '2');
  t.deepEqual(send('take', 'm', '3'), {
    $case: 'refused',
    value: {code: RefusedCode.CODE_FULL},
  });
  t.is(send('take', 'k', '1')?.$case, 'granted');
});

test('an outcome expires after the retention time, a claim does not', async t => {
  const {send, clock} = await createWitness();
  send('take', 'k', '1');
  send('take', 'l', '2');
  send('record', 'k', '1');
  await clock.advance(599_999);
  t.is(send('take', 'k', '3')?.$case, 'held');
  await clock.advance(1);
  t.is(send('take', 'k', '4')?.$case, 'granted');
  t.is(send('take', 'l', '5')?.$case, 'held');
});

test('a take from a host other than the owner is refused', async t => {
  const {send} = await createWitness();
  t.deepEqual(send('take', 'k', '1', hostId('h2')), {
    $case: 'refused',
    value: {code: RefusedCode.CODE_INVALID},
  });
});

test('a restarted witness votes after reading enough co-witnesses', async t => {
  const clock = new VirtualClock();
  const [h0, h1, h2, h3] = [0, 1, 2, 3].map(index => hostId(`h${index}`));
  const view = buildMembershipView({members: createMembers(5, 5)});
  const participation = new WitnessParticipation(clock, h0!, () => view);
  const coWitness = (isComplete: boolean, ...read: HostId[]) => ({
    isComplete,
    readMembers: new Set(read),
  });
  const set = [[h0!, h1!, h2!]];
  participation.recordRead(h1!, coWitness(true));
  participation.recordRead(h2!, coWitness(false, h3!));
  await clock.advance(1019);
  t.false(participation.canVote(set));
  await clock.advance(1);
  t.false(participation.canVote(set));
  t.false(participation.canVote([[h0!, h1!, h3!]]));
  participation.recordRead(h2!, coWitness(true));
  t.true(participation.canVote(set));
  t.false(participation.canVote([...set, [h0!, h1!, h3!]]));
  t.false(participation.isComplete);
  await clock.advance(600_000);
  t.true(participation.canVote([[h0!, h1!, h3!]]));
});
