/** An attempt to open a channel, as the requests that find none see it. */
export interface Opening {
  /** Requests that have taken the fallback since it began. */
  readonly bypassCount: number;
  /** Time at which the connection was accepted, in milliseconds. */
  readonly acceptedAt?: number;
}

/** An attempt that has just begun. */
export const NEW_OPENING: Opening = {bypassCount: 0};

/** How a request that finds no usable channel reaches its daemon. */
export interface Way {
  readonly kind: 'fallback' | 'wait';
  /** The attempt after this request. */
  readonly opening?: Opening;
}

/** Requests that take the fallback while a connection is not accepted. */
const MAX_BYPASS_COUNT = 1;

/**
 * Longest wait for a channel after its connection was accepted, in milliseconds.
 */
export const MAX_UPGRADE_WAIT_MS = 100;

/**
 * Decides how a request that finds no usable channel reaches its daemon: the
 * first one takes the fallback, the others wait for the channel that is being
 * opened until its connection is accepted, and little longer.
 *
 * When keys move or a daemon restarts, all others turn to one daemon at once.
 * With a connection for each request they would fill its accept queue, in which
 * their channels wait, too.
 *
 * @param opening The attempt in progress, if any.
 *
 * @example
 * wayWithoutChannel(undefined, performance.now()).kind; // 'fallback'
 */
export function wayWithoutChannel(
  opening: Opening | undefined,
  now: number,
): Way {
  if (!opening) return {kind: 'fallback'};
  const {bypassCount, acceptedAt = Infinity} = opening;
  const isLate = now >= acceptedAt + MAX_UPGRADE_WAIT_MS;
  if (!isLate && bypassCount >= MAX_BYPASS_COUNT)
    return {kind: 'wait', opening};
  return {
    kind: 'fallback',
    opening: {...opening, bypassCount: bypassCount + 1},
  };
}
