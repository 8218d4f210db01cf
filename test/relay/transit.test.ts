import test from 'ava';
import fc from 'fast-check';
import {
  clockAheadMs,
  formatLoad,
  measureClock,
  readLoad,
  transitMsOf,
  type ClockDifference,
} from '../../src/relay/index.js';

/** Wall clock minus monotonic clock of a machine that is not suspended. */
const OFFSET_MS = 1_790_000_000_000;

/** How much the other clock is ahead in these tests, in milliseconds. */
const AHEAD_MS = 4000;

/** Measures the clock by answers that take these times to arrive. */
function measureAll(answerMs: readonly number[], intervalMs: number) {
  let known: ClockDifference | undefined;
  let now = 0;
  for (const took of answerMs) {
    now += intervalMs;
    const reading = now + AHEAD_MS - took;
    known = measureClock(known, reading, now, OFFSET_MS);
  }
  return {known, now};
}

test('a request is never taken to have left later than it did, however late answers are', t => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 0, max: 3000}), {minLength: 1}),
      fc.integer({min: 0, max: 3000}),
      (answerMs, transitMs) => {
        const {known, now} = measureAll(answerMs, 20);
        const aheadMs = clockAheadMs(known, now, OFFSET_MS) ?? NaN;
        const readAt = now + transitMs + AHEAD_MS;
        const measuredMs = transitMsOf(String(now + aheadMs), readAt);
        const fastestMs = Math.min(...answerMs);
        t.true(measuredMs >= transitMs);
        t.true(measuredMs <= transitMs + fastestMs);
      },
    ),
  );
});

test('a clock is measured again after ten seconds, as the other process may be another one', t => {
  const {known, now} = measureAll([0], 20);
  t.is(clockAheadMs(known, now + 10_000, OFFSET_MS), AHEAD_MS);
  t.is(clockAheadMs(known, now + 10_001, OFFSET_MS), undefined);
  const later = measureClock(known, 5, now + 10_001, OFFSET_MS);
  t.is(later.aheadMs, 5 - (now + 10_001));
});

test('a clock that was measured before a suspension is not used', t => {
  const {known, now} = measureAll([0], 20);
  t.is(clockAheadMs(known, now, OFFSET_MS + 3000), undefined);
  const after = measureClock(known, now + 1000, now, OFFSET_MS + 3000);
  t.is(clockAheadMs(after, now, OFFSET_MS + 3000), 1000);
});

test('a request without a valid time of sending was not on its way', t => {
  for (const text of [undefined, 'NaN', '', 'soon', ['5', '6'], '2000']) {
    t.is(transitMsOf(text, text === '' ? -1 : 1000), 0);
  }
  t.is(transitMsOf('400', 1000), 600);
});

test('a load without a clock, of an earlier version, is read', t => {
  const load = {busy: 2, slots: 4, meanMs: 20, limitedMs: 0, intervalMs: 0};
  const read = (text: string) =>
    readLoad({
      status: 200,
      headers: [],
      isChunked: false,
      contentLength: 0,
      ownHeaders: new Map([['vanillaspool-load', text]]),
    });
  t.deepEqual(read('2,4,20,0,0'), {...load, clockMs: NaN});
  const full = {...load, clockMs: 9301};
  t.deepEqual(read(formatLoad(full)), full);
});
