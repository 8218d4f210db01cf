/** What tells that two requests are attempts of one caller's request. */
export interface AttemptIdentity {
  readonly method: string;
  readonly target: string;
  readonly key?: number;
  /** Time by which the caller wants its answer, in milliseconds. */
  readonly dueAt: number;
}

/** Requests that ended without success and may come back. */
export interface CallerRetries {
  /** Remembers a request that ended without success. */
  readonly recordFailure: (identity: AttemptIdentity, firstAt: number) => void;
  /**
   * Returns the time of the first attempt of a request that has come back.
   *
   * @returns undefined when it is a first attempt.
   */
  readonly firstAttemptAt: (
    identity: AttemptIdentity,
    now: number,
  ) => number | undefined;
}

/** Requests that are remembered, at most; the oldest are dropped first. */
const MAX_RECORDED_TARGETS = 2000;

/**
 * Difference between what two attempts state as the end of the caller's
 * patience, in milliseconds: delays on the way and whole milliseconds.
 */
const DEADLINE_TOLERANCE_MS = 30;

interface FailedAttempt {
  readonly dueAt: number;
  readonly firstAt: number;
}

/**
 * Creates the memory of requests that may come back. A caller that sends a
 * request again has less time left, by as much as has passed since: both
 * attempts are due at the same moment.
 *
 * Answers an overload in which refused callers return: each counts from its
 * first attempt, so that it takes no slot in time from one that is still in
 * time.
 *
 * @example
 * const returns = createReturns();
 * returns.remember(mark, startedAt);
 * returns.firstAt(mark, performance.now()); // startedAt
 */
export function createCallerRetries(): CallerRetries {
  const failedAttempts = new Map<string, readonly FailedAttempt[]>();
  const keyOf = ({method, target, key}: AttemptIdentity) =>
    `${method} ${key ?? ''} ${target}`;
  const isSame = (identity: AttemptIdentity) => (entry: FailedAttempt) =>
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
