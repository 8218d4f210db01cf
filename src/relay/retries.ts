/**
 * Identity of a caller's request across its attempts. Requests match if method,
 * target and key are equal and the deadlines differ by at most 30 ms.
 */
export interface RequestIdentity {
  readonly method: string;
  readonly target: string;
  readonly key?: number;
  /** Time until which the caller waits for the answer, in milliseconds. */
  readonly dueAt: number;
}

/** Failed requests that their callers may retry. */
export interface CallerRetries {
  /** Records a failed request. */
  readonly recordFailure: (identity: RequestIdentity, firstAt: number) => void;
  /**
   * Returns the time of the first attempt of a retried request.
   *
   * @returns undefined if the request is a first attempt.
   */
  readonly firstAttemptAt: (
    identity: RequestIdentity,
    now: number,
  ) => number | undefined;
}

/** Largest number of recorded targets; the oldest one is evicted first. */
const MAX_RECORDED_TARGETS = 2000;

/**
 * Largest difference of the end times that two attempts state, in milliseconds:
 * network delays, and rounding to whole milliseconds.
 */
const DEADLINE_TOLERANCE_MS = 30;

interface FailedAttempt {
  readonly dueAt: number;
  readonly firstAt: number;
}

/**
 * Creates the record of failed requests. A caller's retry states a remaining
 * time reduced by the time since the first attempt, so both attempts have the
 * same deadline. How requests match is described at `AttemptIdentity`.
 *
 * During an overload, a retried request counts from its first attempt, so that
 * it does not take a slot from a request that can still meet its latency
 * objective.
 *
 * @example
 * const retries = createCallerRetries();
 * retries.recordFailure(identity, startedAt);
 * retries.firstAttemptAt(identity, performance.now()); // startedAt
 */
export function createCallerRetries(): CallerRetries {
  const failedAttempts = new Map<string, readonly FailedAttempt[]>();
  const keyOf = ({method, target, key}: RequestIdentity) =>
    `${method} ${key ?? ''} ${target}`;
  const isSame = (identity: RequestIdentity) => (entry: FailedAttempt) =>
    Math.abs(entry.dueAt - identity.dueAt) <= DEADLINE_TOLERANCE_MS;
  return {
    recordFailure: (identity, firstAt) => {
      const key = keyOf(identity);
      const others = (failedAttempts.get(key) ?? []).filter(
        entry => entry.dueAt > firstAt && !isSame(identity)(entry),
      );
      failedAttempts.delete(key);
      failedAttempts.set(key, [...others, {dueAt: identity.dueAt, firstAt}]);
      if (failedAttempts.size <= MAX_RECORDED_TARGETS) return;
      for (const oldest of failedAttempts.keys()) {
        failedAttempts.delete(oldest);
        break;
      }
    },
    firstAttemptAt: (identity, now) => {
      if (failedAttempts.size === 0) return undefined;
      const entry = failedAttempts.get(keyOf(identity))?.find(isSame(identity));
      return entry && entry.firstAt < now ? entry.firstAt : undefined;
    },
  };
}
