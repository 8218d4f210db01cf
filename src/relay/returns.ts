/** What tells that two requests are attempts of one caller's request. */
export interface AttemptMark {
  readonly method: string;
  readonly target: string;
  readonly key?: number;
  /** Time by which the caller wants its answer, in milliseconds. */
  readonly dueAt: number;
}

/** Requests that ended without success and may come back. */
export interface Returns {
  /** Remembers a request that ended without success. */
  readonly remember: (mark: AttemptMark, firstAt: number) => void;
  /**
   * Returns the time of the first attempt of a request that has come back.
   *
   * @returns undefined when it is a first attempt.
   */
  readonly firstAt: (mark: AttemptMark, now: number) => number | undefined;
}

/** Requests that are remembered, at most; the oldest are dropped first. */
const REMEMBERED = 2000;

/**
 * Difference between what two attempts state as the end of the caller's
 * patience, in milliseconds: delays on the way and whole milliseconds.
 */
const DUE_TOLERANCE_MS = 30;

interface Remembered {
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
export function createReturns(): Returns {
  const known = new Map<string, readonly Remembered[]>();
  const nameOf = ({method, target, key}: AttemptMark) =>
    `${method} ${key ?? ''} ${target}`;
  const isSame = (mark: AttemptMark) => (entry: Remembered) =>
    Math.abs(entry.dueAt - mark.dueAt) <= DUE_TOLERANCE_MS;
  return {
    remember: (mark, firstAt) => {
      const name = nameOf(mark);
      const others = (known.get(name) ?? []).filter(
        entry => entry.dueAt > firstAt && !isSame(mark)(entry),
      );
      known.delete(name);
      known.set(name, [...others, {dueAt: mark.dueAt, firstAt}]);
      if (known.size <= REMEMBERED) return;
      for (const oldest of known.keys()) {
        known.delete(oldest);
        break;
      }
    },
    firstAt: (mark, now) => {
      if (known.size === 0) return undefined;
      const entry = known.get(nameOf(mark))?.find(isSame(mark));
      return entry && entry.firstAt < now ? entry.firstAt : undefined;
    },
  };
}
