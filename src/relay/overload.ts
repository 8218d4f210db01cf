/** A request of a route at a daemon, for the record of refusals. */
export interface RefusableRequest {
  readonly node: string;
  readonly route: string;
  /** The caller sends the request again after a failure. */
  readonly isRetry: boolean;
}

/** Recent refusals of other daemons for lack of capacity. */
export interface OverloadRefusals {
  /**
   * Records that a daemon refused a request, and when it expects free capacity.
   */
  readonly record: (
    request: RefusableRequest,
    retryAfterMs: number,
    now: number,
  ) => void;
  /**
   * Returns the time after which a daemon expects free capacity for a request,
   * in milliseconds; undefined if it may be forwarded now.
   */
  readonly retryDelayMs: (
    request: RefusableRequest,
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
 * A retry has hardly any time left until its latency objective, and is refused
 * while a first attempt would still be started. Its refusal therefore applies
 * to retries only.
 *
 * @example
 * const refusals = createOverloadRefusals();
 * const request = {node: '10.1.0.8:7620', route: 'view', isRetry: false};
 * refusals.record(request, 300, performance.now());
 */
export function createOverloadRefusals(): OverloadRefusals {
  const refusals = new Map<string, OverloadRefusal>();
  const keyOf = ({node, route, isRetry}: RefusableRequest) =>
    `${node} ${isRetry ? 'retry' : 'first'} ${route}`;
  const validRefusal = (request: RefusableRequest, now: number) => {
    const refusal = refusals.get(keyOf(request));
    return refusal && now < refusal.validUntil ? refusal : undefined;
  };
  return {
    record: (request, retryAfterMs, now) => {
      const validMs = Math.min(
        retryAfterMs * REFUSAL_VALID_SHARE,
        MAX_REFUSAL_VALID_MS,
      );
      const refusal = {validUntil: now + validMs, retryAt: now + retryAfterMs};
      refusals.set(keyOf(request), refusal);
    },
    retryDelayMs: (request, now) => {
      const refusal =
        validRefusal({...request, isRetry: false}, now) ??
        (request.isRetry ? validRefusal(request, now) : undefined);
      return refusal && refusal.retryAt - now;
    },
  };
}

interface OverloadRefusal {
  /** Time until which the refusal is valid, in milliseconds. */
  readonly validUntil: number;
  /** Time at which the daemon expects free capacity, in milliseconds. */
  readonly retryAt: number;
}
