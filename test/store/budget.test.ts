import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {
  UnavailableError,
  withCallBudget,
  withCallCounts,
  reserveCall,
  type Bucket,
  type Clock,
} from '../../src/store/index.js';
import {createMemoryPlatform} from '../../standin/platform/index.js';

/** A clock that stands still and notes how long calls slept. */
function fixedClock(): Clock & {readonly sleeps: number[]} {
  const sleeps: number[] = [];
  const sleep = async (timeMs: number) => {
    sleeps.push(timeMs);
  };
  return {now: () => 0, sleep, sleeps};
}

testProp(
  'no time span holds more calls than its rate and the burst',
  [
    fc.array(fc.integer({min: 0, max: 400}), {minLength: 1, maxLength: 60}),
    fc.integer({min: 1, max: 50}),
    fc.integer({min: 1, max: 10}),
  ],
  (t, gaps, callsPerSecond, burst) => {
    let bucket: Bucket = {tokens: burst, updatedAtMs: 0};
    let now = 0;
    const calls: number[] = [];
    for (const gap of gaps) {
      now += gap;
      const turn = reserveCall(bucket, {callsPerSecond, burst}, now, 1000);
      bucket = turn.bucket;
      if (!turn.isRefused) calls.push(now + turn.waitMs);
    }
    calls.forEach((from, first) => {
      calls.slice(first).forEach((until, index) => {
        const allowed = burst + ((until - from) * callsPerSecond) / 1000;
        t.true(index + 1 <= allowed + 1e-6);
      });
    });
  },
  {seed: 20261203, numRuns: 300},
);

test('a call beyond the budget waits, then is refused', async t => {
  const clock = fixedClock();
  const platform = withCallBudget(createMemoryPlatform(), 0.25, 1, clock);
  await platform.get('a');
  await platform.get('a');
  t.deepEqual(clock.sleeps, [4000]);
  await t.throwsAsync(platform.get('a'), {instanceOf: UnavailableError});
});

test('calls are counted by kind and result', async t => {
  const seen: string[] = [];
  const inner = createMemoryPlatform();
  const platform = withCallCounts(inner, (...call) =>
    seen.push(call.join(' ')),
  );
  await platform.put('a', '1', 0);
  await platform.put('a', '1', 0);
  inner.loseAnswers(1);
  await t.throwsAsync(platform.put('a', '2', 1));
  inner.setDown(true);
  await t.throwsAsync(platform.list(''));
  t.deepEqual(seen, [
    'put done',
    'put conflict',
    'put answer-lost',
    'list unavailable',
  ]);
});
