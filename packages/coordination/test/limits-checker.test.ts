import test from 'ava';
import fc from 'fast-check';
import {TokenBucket} from '../src/index.js';
import type {BorrowedGrant} from '../src/limits/borrowed-tokens.js';
import {BorrowedTokens} from '../src/limits/borrowed-tokens.js';
import {ShareEpochs} from '../src/limits/share-epochs.js';
import {ScheduleRun, scheduleArbitrary} from './tools/limit-schedule.js';

const seed = 20_261_204;

/** True when some schedule shows more use than the bound allows. */
async function findsExcess(): Promise<boolean> {
  const property = fc.asyncProperty(scheduleArbitrary, async schedule => {
    const run = new ScheduleRun(schedule);
    await run.run();
    return run.worstExcess() <= 0;
  });
  const details = await fc.check(property, {
    seed,
    numRuns: 5_000,
    endOnFailure: true,
  });
  return details.failed;
}

async function whileReplaced<Owner, Name extends keyof Owner>(
  owner: Owner,
  name: Name,
  replacement: Owner[Name],
): Promise<boolean> {
  const original = owner[name];
  owner[name] = replacement;
  try {
    return await findsExcess();
  } finally {
    owner[name] = original;
  }
}

test.serial('a bucket that starts full is caught', async t => {
  t.true(
    await whileReplaced(
      ShareEpochs.prototype,
      'untouchedStart',
      (_account, now) => ({levelTokens: Infinity, refillStartsAt: now}),
    ),
  );
});

test.serial('refunds in full are caught', async t => {
  t.true(
    await whileReplaced(
      TokenBucket.prototype,
      'refund',
      function (this: TokenBucket, _mark, tokens) {
        (this as unknown as {level: number}).level += tokens;
        return tokens;
      },
    ),
  );
});

test.serial('doubled returns that count twice are caught', async t => {
  const {takeBack} = TokenBucket.prototype;
  let number = 0;
  t.true(
    await whileReplaced(
      TokenBucket.prototype,
      'takeBack',
      function (this: TokenBucket, id, _number, tokens, now) {
        number += 1;
        return takeBack.call(this, id, number, tokens, now);
      },
    ),
  );
});

test.serial('grants that are given back and used are caught', async t => {
  t.true(
    await whileReplaced(
      BorrowedTokens.prototype,
      'removeExpiring',
      function (this: BorrowedTokens, time) {
        const {grants} = this as unknown as {grants: BorrowedGrant[]};
        return grants.filter(grant => grant.expiresAt <= time);
      },
    ),
  );
});

test.serial('a larger share that adds tokens is caught', async t => {
  const {reconfigure} = TokenBucket.prototype;
  t.true(
    await whileReplaced(
      TokenBucket.prototype,
      'reconfigure',
      function (this: TokenBucket, share, now) {
        reconfigure.call(this, share, now);
        (this as unknown as {level: number}).level = share.capacityTokens;
      },
    ),
  );
});
