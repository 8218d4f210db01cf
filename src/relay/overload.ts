/** Recent refusals of other daemons for lack of capacity. */
export interface OverloadRefusals {
  /**
   * Records that a daemon refused a request of a route, and when it expects
   * free capacity.
   */
  readonly record: (
    node: string,
    route: string,
    retryAfterMs: number,
    now: number,
  ) => void;
  /**
   * Returns the time after which a daemon expects free capacity for requests of
   * a route, in milliseconds; undefined if a request may be forwarded to it
   * now.
   */
  readonly retryDelayMs: (
    node: string,
    route: string,
    now: number,
  ) => number | undefined;
}

/**
 * Share of the time until a daemon expects free capacity for which it gets no
 * requests. Its queue is not yet empty by then, so its slots stay in use.
 */
const REFUSAL_VALID_SHARE = 0.5;

/** Longest time for which a refusal is considered valid, in milliseconds. */
const MAX_REFUSAL_VALID_MS = 150;

/**
 * Creates the record of refusals.
 *
 * During an overload, each refusal costs time at two daemons. Requests that the
 * other daemon would refuse are refused locally instead.
 *
 * @example
 * const refusals = createOverloadRefusals();
 * refusals.record('10.1.0.8:7620', 'view', 300, performance.now());
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
  /** Time until which the refusal is valid, in milliseconds. */
  readonly validUntil: number;
  /** Time at which the daemon expects free capacity, in milliseconds. */
  readonly retryAt: number;
}
