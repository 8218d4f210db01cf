import test from 'ava';
import {PAUSE_MS, SERIES_PAUSE_MS, pauseAfter} from '../../platform/pace.js';
import {openDrainMs} from '../../src/sidecar/index.js';

/** Time until a response of the store, in milliseconds. */
const RESPONSE_MS = 4;

/** Longest time that a call waits for a change, in milliseconds. */
const WAIT_MS = 2000;

/** Result of a watch of changes at given times. */
interface Watched {
  readonly callsPerSecond: number;
  /** Longest time from a change to the response that names it. */
  readonly worstDelayMs: number;
}

/** Plays a watch of changes at the given times, in order. */
function watch(
  changeTimes: readonly number[],
  endMs: number,
  isAwaited = false,
): Watched {
  let next = 0;
  let calls = 0;
  let worstDelayMs = 0;
  for (let at = 0; at < endMs;) {
    calls += 1;
    const change = changeTimes[next] ?? Infinity;
    const readAt = Math.min(Math.max(at, change), at + WAIT_MS) + RESPONSE_MS;
    const seen = next;
    while (changeTimes[next] <= readAt - RESPONSE_MS) next += 1;
    if (next > seen) {
      worstDelayMs = Math.max(worstDelayMs, readAt - changeTimes[seen]);
    }
    const call = {waitedMs: readAt - at, hasChanges: next > seen};
    at = readAt + pauseAfter(call, isAwaited);
  }
  return {callsPerSecond: (calls * 1000) / endMs, worstDelayMs};
}

const GOLDEN_RATIO = 0.618034;

/** Returns the times of changes that come independently, at a mean rate. */
function changesAt(perSecond: number, endMs: number): readonly number[] {
  const times: number[] = [];
  for (let index = 1, at = 0; ; index++) {
    const fraction = (index * GOLDEN_RATIO) % 1;
    at += (-Math.log(1 - fraction) * 1000) / perSecond;
    if (!(at < endMs)) return times;
    times.push(at);
  }
}

const DURATION_MS = 60_000;

/**
 * Most calls a second at a rate of changes, while a change is awaited and while
 * none is.
 */
const MOST_CALLS = [
  {perSecond: 0, awaited: 0.45, gathered: 0.45},
  {perSecond: 0.25, awaited: 0.59, gathered: 0.59},
  {perSecond: 1, awaited: 1.15, gathered: 1.1},
  {perSecond: 2, awaited: 2.1, gathered: 1.6},
  {perSecond: 4, awaited: 3.1, gathered: 1.95},
  {perSecond: 10, awaited: 3.9, gathered: 2.05},
  {perSecond: 50, awaited: 4, gathered: 2.05},
];

for (const {perSecond, awaited, gathered} of MOST_CALLS) {
  test(`${perSecond} changes a second make at most ${gathered} calls a second`, t => {
    const changes = changesAt(perSecond, DURATION_MS);
    const {callsPerSecond, worstDelayMs} = watch(changes, DURATION_MS);
    t.true(callsPerSecond <= gathered, `${callsPerSecond} calls a second`);
    t.true(worstDelayMs <= SERIES_PAUSE_MS + 2 * RESPONSE_MS);
  });

  test(`${perSecond} awaited changes a second are seen within ${PAUSE_MS} ms`, t => {
    const changes = changesAt(perSecond, DURATION_MS);
    const watched = watch(changes, DURATION_MS, true);
    const {callsPerSecond, worstDelayMs} = watched;
    t.true(callsPerSecond <= awaited, `${callsPerSecond} calls a second`);
    t.true(worstDelayMs <= PAUSE_MS + 2 * RESPONSE_MS);
  });
}

/** Time for the way of a response from the store, on a busy link. */
const WAY_MS = 250;

test('other daemons know that an instance leaves before it closes', t => {
  t.true(SERIES_PAUSE_MS + WAY_MS <= openDrainMs(2000));
});
