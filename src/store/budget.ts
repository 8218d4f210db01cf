import {UnavailableError} from './errors.js';
import type {Change, ObjectStore} from './store.js';

/** Longest time that a call waits for its turn, in milliseconds. */
const MAX_WAIT_MS = 5000;

/** A rate of calls. */
export interface Rate {
  readonly callsPerSecond: number;
  /** Calls that may be made at once after a quiet time. */
  readonly burst: number;
}

/** A token bucket. A negative number of tokens is owed to calls that wait. */
export interface Bucket {
  readonly tokens: number;
  readonly updatedAtMs: number;
}

/** Result of asking a bucket for one call. */
export interface Reservation {
  readonly bucket: Bucket;
  readonly isRefused: boolean;
  /** Time until the call may be made, in milliseconds. */
  readonly waitMs: number;
}

/** The time as a budget sees it. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  readonly sleep: (timeMs: number) => Promise<void>;
}

/** The clock of the process. */
export const PROCESS_CLOCK: Clock = {
  now: () => performance.now(),
  sleep: timeMs => new Promise(resolve => setTimeout(resolve, timeMs)),
};

/**
 * Asks a bucket for one call. The call is refused, and takes no token, when it
 * would have to wait longer than the limit.
 *
 * @example
 * const rate = {callsPerSecond: 10, burst: 1};
 * takeTurn({tokens: 0, atMs: 0}, rate, 0, 5000).waitMs; // 100
 */
export function reserveCall(
  bucket: Bucket,
  rate: Rate,
  nowMs: number,
  maxWaitMs: number,
): Reservation {
  const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
  const gained = (elapsedMs * rate.callsPerSecond) / 1000;
  const tokens = Math.min(rate.burst, bucket.tokens + gained);
  const waitMs = Math.max(0, ((1 - tokens) * 1000) / rate.callsPerSecond);
  const isRefused = waitMs > maxWaitMs;
  const remaining = isRefused ? tokens : tokens - 1;
  const updatedAtMs = Math.max(nowMs, bucket.updatedAtMs);
  return {
    bucket: {tokens: remaining, updatedAtMs: updatedAtMs},
    isRefused,
    waitMs,
  };
}

/**
 * Wraps a platform so that its calls, a watch counted as one, stay within a
 * rate. Calls beyond the rate wait for their turn in order, and are refused
 * with `UnavailableError` when the wait would be too long.
 *
 * @throws {RangeError} when the rate is not positive or the burst is below one.
 *
 * @example
 * const platform = budgeted(inner, 2, 20, PROCESS_CLOCK);
 */
export function withCallBudget(
  platform: ObjectStore,
  callsPerSecond: number,
  burst: number,
  clock: Clock,
): ObjectStore {
  const rate: Rate = {callsPerSecond, burst};
  checkRate(rate);
  let bucket: Bucket = {tokens: burst, updatedAtMs: clock.now()};
  const awaitTurn = async () => {
    const reservation = reserveCall(bucket, rate, clock.now(), MAX_WAIT_MS);
    bucket = reservation.bucket;
    if (reservation.isRefused) {
      throw new UnavailableError('the budget of platform calls is used up');
    }
    if (reservation.waitMs > 0) await clock.sleep(reservation.waitMs);
  };
  const callInTurn = async <T>(call: () => Promise<T>): Promise<T> => {
    await awaitTurn();
    return call();
  };
  return {
    get: key => callInTurn(() => platform.get(key)),
    list: prefix => callInTurn(() => platform.list(prefix)),
    put: (key, value, expected) =>
      callInTurn(() => platform.put(key, value, expected)),
    delete: (key, expected) => callInTurn(() => platform.delete(key, expected)),
    watch: (prefix, from, signal) =>
      watchInTurn(awaitTurn, () => platform.watch(prefix, from, signal)),
  };
}

function checkRate({callsPerSecond, burst}: Rate): void {
  if (!(callsPerSecond > 0)) {
    throw new RangeError(`not a rate: ${callsPerSecond}`);
  }
  if (!(burst >= 1)) throw new RangeError(`not a burst: ${burst}`);
}

async function* watchInTurn(
  awaitTurn: () => Promise<void>,
  watch: () => AsyncIterable<Change>,
): AsyncGenerator<Change> {
  await awaitTurn();
  yield* watch();
}
