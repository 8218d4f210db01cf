/** What daemons have said of requests for which they have no room. */
export interface OverloadRefusals {
  /**
   * Remembers that a daemon refused a request of a route, and when it expects to
   * have room.
   */
  readonly record: (
    node: string,
    route: string,
    retryAfterMs: number,
    now: number,
  ) => void;
  /**
   * Returns the time after which a daemon expects to have room for requests of a
   * route, in milliseconds, as long as they are not worth a question there.
   */
  readonly retryDelayMs: (
    node: string,
    route: string,
    now: number,
  ) => number | undefined;
}

/**
 * Share of the time until a daemon expects to have room in which it is not asked:
 * what waits there has not all begun by then, so that its slots stay in use.
 */
const REFUSAL_VALID_SHARE = 0.5;

/** Longest time for which a refusal is relied on, in milliseconds. */
const MAX_REFUSAL_VALID_MS = 150;

/**
 * Creates the memory of refusals.
 *
 * Answers an overload in which each refusal takes time of two daemons: requests
 * that would be refused there are refused here.
 *
 * @example
 * const pressure = createPressure();
 * pressure.refused('10.1.0.8:7620', 'view', 300, performance.now());
 */
export function createOverloadRefusals(): OverloadRefusals {
  const refusals = new Map<string, OverloadRefusal>();
  const keyOf = (node: string, route: string) => `${node} ${route}`;
  return {
    record: (node, route, retryAfterMs, now) => {
      const validMs = Math.min(
        retryAfterMs * REFUSAL_VALID_SHARE,
        MAX_REFUSAL_VALID_MS,
      );
      const refusal = {validUntil: now + validMs, retryAt: now + retryAfterMs};
      refusals.set(keyOf(node, route), refusal);
    },
    retryDelayMs: (node, route, now) => {
      const refusal = refusals.get(keyOf(node, route));
      return refusal && now < refusal.validUntil
        ? refusal.retryAt - now
        : undefined;
    },
  };
}

interface OverloadRefusal {
  /** Time until which it is relied on, in milliseconds. */
  readonly validUntil: number;
  /** Time at which the daemon expects to have room. */
  readonly retryAt: number;
}
