import test from 'ava';
import fc from 'fast-check';
import {TokenBucket} from '../src/index.js';
import type {BorrowedGrant} from '../src/limits/borrowed-tokens.js';
import {BorrowedTokens} from '../src/limits/borrowed-tokens.js';
import {ShareEpochs} from '../src/limits/share-epochs.js';
import {ScheduleRunner, scheduleArbitrary} from './tools/limit-schedule.js';

const seed = 20_261_204;

/** Returns true if a schedule uses more tokens than the bound allows. */
async function detectsExcess(): Promise<boolean> {
  const property = fc.asyncProperty(scheduleArbitrary, async schedule => {
    const runner = new ScheduleRunner(schedule);
    await runner.run();
    return runner.worstExcess() <= 0;
  });
  const details = await fc.check(property, {
    seed,
    numRuns: 5_000,
    endOnFailure: true,
  });
  return details.failed;
}

/** Runs the bound check while a method is replaced by a faulty one. */
async function detectsReplacement<Owner, Name extends keyof Owner>(
  owner: Owner,
  name: Name,
  replacement: Owner[Name],
): Promise<boolean> {
  const original = owner[name];
  owner[name] = replacement;
  try {
    return await detectsExcess();
  } finally {
    owner[name] = original;
  }
}

test.serial('the bound check detects a bucket that starts full', async t => {
  t.true(
    await detectsReplacement(
      ShareEpochs.prototype,
      'unusedBucketState',
      (_account, now) => ({levelTokens: Infinity, refillStartsAt: now}),
    ),
  );
});

test.serial(
  'the bound check detects refunds without a headroom limit',
  async t => {
    t.true(
      await detectsReplacement(
        TokenBucket.prototype,
        'refund',
        function (this: TokenBucket, _mark, tokens) {
          (this as unknown as {level: number}).level += tokens;
          return tokens;
        },
      ),
    );
  },
);

test.serial(
  'the bound check detects duplicate returns that are credited twice',
  async t => {
    const {creditReturn} = TokenBucket.prototype;
    let returnNumber = 0;
    t.true(
      await detectsReplacement(
        TokenBucket.prototype,
        'creditReturn',
        function (this: TokenBucket, id, _returnNumber, tokens, now) {
          returnNumber += 1;
          return creditReturn.call(this, id, returnNumber, tokens, now);
        },
      ),
    );
  },
);

test.serial(
  'the bound check detects grants that are used after their return',
  async t => {
    t.true(
      await detectsReplacement(
        BorrowedTokens.prototype,
        'removeExpiring',
        function (this: BorrowedTokens, time) {
          const {grants} = this as unknown as {grants: BorrowedGrant[]};
          return grants.filter(grant => grant.expiresAt <= time);
        },
      ),
    );
  },
);

test.serial(
  'the bound check detects a share change that adds tokens',
  async t => {
    const {reconfigure} = TokenBucket.prototype;
    t.true(
      await detectsReplacement(
        TokenBucket.prototype,
        'reconfigure',
        function (this: TokenBucket, share, now) {
          reconfigure.call(this, share, now);
          (this as unknown as {level: number}).level = share.capacityTokens;
        },
      ),
    );
  },
);
