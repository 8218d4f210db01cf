/** What daemons have said of requests for which they have no room. */
export interface Pressure {
  /**
   * Remembers that a daemon refused a request of a route, and when it expects to
   * have room.
   */
  readonly refused: (
    node: string,
    route: string,
    retryAfterMs: number,
    now: number,
  ) => void;
  /**
   * Returns the time after which a daemon expects to have room for requests of a
   * route, in milliseconds, as long as they are not worth a question there.
   */
  readonly roomInMs: (
    node: string,
    route: string,
    now: number,
  ) => number | undefined;
}

/**
 * Share of the time until a daemon expects to have room in which it is not asked:
 * what waits there has not all begun by then, so that its slots stay in use.
 */
const TRUSTED_SHARE = 0.5;

/** Longest time for which a refusal is relied on, in milliseconds. */
const TRUSTED_MS = 150;

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
export function createPressure(): Pressure {
  const refusals = new Map<string, Refusal>();
  const nameOf = (node: string, route: string) => `${node} ${route}`;
  return {
    refused: (node, route, retryAfterMs, now) => {
      const trustedMs = Math.min(retryAfterMs * TRUSTED_SHARE, TRUSTED_MS);
      const refusal = {until: now + trustedMs, roomAt: now + retryAfterMs};
      refusals.set(nameOf(node, route), refusal);
    },
    roomInMs: (node, route, now) => {
      const refusal = refusals.get(nameOf(node, route));
      return refusal && now < refusal.until ? refusal.roomAt - now : undefined;
    },
  };
}

interface Refusal {
  /** Time until which it is relied on, in milliseconds. */
  readonly until: number;
  /** Time at which the daemon expects to have room. */
  readonly roomAt: number;
}
