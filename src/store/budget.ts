import {UnavailableError} from './errors.js';
import type {Change, ObjectStore} from './store.js';

/** Maximum time that a call waits for a token. */
const MAX_WAIT_MS = 5000;

/** A rate limit on calls. */
export interface Rate {
  readonly callsPerSecond: number;
  /** Capacity of the token bucket: calls allowed at once after an idle period. */
  readonly burst: number;
}

/** A token bucket. Waiting calls make the number of tokens negative. */
export interface Bucket {
  readonly tokens: number;
  readonly updatedAtMs: number;
}

/** Result of reserving one call. */
export interface Reservation {
  readonly bucket: Bucket;
  readonly isRefused: boolean;
  /** Delay before the call may be made, in milliseconds. */
  readonly waitMs: number;
}

/** Clock and timer of a call budget. */
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
 * Reserves one call. The call is refused, and takes no token, if it would have to
 * wait longer than `maxWaitMs`.
 *
 * @example
 * const rate = {callsPerSecond: 10, burst: 1};
 * reserveCall({tokens: 0, updatedAtMs: 0}, rate, 0, 5000).waitMs; // 100
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
  return {bucket: {tokens: remaining, updatedAtMs}, isRefused, waitMs};
}

/**
 * Wraps a platform with a rate limit on its calls. Opening a watch counts as one
 * call. Calls beyond the rate wait in order. A call that would wait too long is
 * rejected with `UnavailableError`.
 *
 * @throws {RangeError} if the rate is not positive or the burst is below one.
 *
 * @example
 * const platform = withCallBudget(inner, 2, 20, PROCESS_CLOCK);
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
      throw new UnavailableError(
        'platform call rejected: the wait for the rate limit would be too long',
      );
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
    watch: (prefix, from, signal, isAwaited) =>
      watchInTurn(awaitTurn, () =>
        platform.watch(prefix, from, signal, isAwaited),
      ),
  };
}

function checkRate({callsPerSecond, burst}: Rate): void {
  if (!(callsPerSecond > 0)) {
    throw new RangeError(
      `callsPerSecond must be positive, got ${callsPerSecond}`,
    );
  }
  if (!(burst >= 1))
    throw new RangeError(`burst must be at least 1, got ${burst}`);
}

async function* watchInTurn(
  awaitTurn: () => Promise<void>,
  watch: () => AsyncIterable<Change>,
): AsyncGenerator<Change> {
  await awaitTurn();
  yield* watch();
}
