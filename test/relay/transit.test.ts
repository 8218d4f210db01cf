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

/** Interval between the requests that measure the clock, in milliseconds. */
const INTERVAL_MS = 400;

/** Measures the clock by requests that take these times to be read. */
function measureAll(transitMs: readonly number[]) {
  let known: ClockDifference | undefined;
  let now = 0;
  for (const took of transitMs) {
    now += INTERVAL_MS;
    const reading = {sentAt: now - took, readAt: now + AHEAD_MS};
    known = measureClock(known, reading, now, OFFSET_MS);
  }
  return {known, now};
}

/** Returns how long a request was on its way, as its receiver finds. */
function measuredTransit(aheadMs: number, sentAt: number, transitMs: number) {
  const header = String(Math.round(sentAt + aheadMs));
  return transitMsOf(header, sentAt + transitMs + AHEAD_MS);
}

// Guards against requests that are refused or cut short though they are in time.
test('no more than the time on the way is found, however late other requests and answers are', t => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 0, max: 3000}), {minLength: 1, maxLength: 60}),
      fc.integer({min: 0, max: 3000}),
      (others, transitMs) => {
        const {known, now} = measureAll(others);
        const aheadMs = clockAheadMs(known, now, OFFSET_MS) ?? NaN;
        const foundMs = measuredTransit(aheadMs, now, transitMs);
        t.true(foundMs <= transitMs);
        // Those of the last ten seconds: the best one is kept for that long.
        const recent = others.slice(-25);
        t.true(foundMs >= transitMs - Math.max(...recent));
        if (others.length <= 25) {
          t.is(foundMs, Math.max(0, transitMs - Math.min(...others)));
        }
      },
    ),
  );
});

test('a clock is measured again after ten seconds, as the other process may be another one', t => {
  const {known, now} = measureAll([0]);
  t.is(clockAheadMs(known, now + 10_000, OFFSET_MS), AHEAD_MS);
  t.is(clockAheadMs(known, now + 10_001, OFFSET_MS), undefined);
  const reading = {sentAt: now + 10_000, readAt: now + 20_000};
  const later = measureClock(known, reading, now + 10_001, OFFSET_MS);
  t.is(later.aheadMs, 10_000);
});

test('a process that has started again, with its clock at zero, finds no time on the way', t => {
  const {known, now} = measureAll([0]);
  const aheadMs = clockAheadMs(known, now, OFFSET_MS) ?? NaN;
  t.is(transitMsOf(String(now + aheadMs), 250), 0);
});

test('a clock that was measured before a suspension is not used', t => {
  const {known, now} = measureAll([0]);
  t.is(clockAheadMs(known, now, OFFSET_MS + 3000), undefined);
  const reading = {sentAt: now, readAt: now + 5000};
  const after = measureClock(known, reading, now, OFFSET_MS + 3000);
  t.is(clockAheadMs(after, now, OFFSET_MS + 3000), 5000);
});

test('a request without a valid time of sending was not on its way', t => {
  const invalid = [undefined, 'NaN', '', ' ', '-Infinity', 'soon', '1e2', '-5'];
  for (const text of [...invalid, ['5', '6'], '2000']) {
    t.is(transitMsOf(text, 1000), 0, String(text));
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
  t.deepEqual(read('2,4,20,0,0,'), {...load, clockMs: NaN});
  const full = {...load, clockMs: 9301};
  t.deepEqual(read(formatLoad(full)), full);
});
