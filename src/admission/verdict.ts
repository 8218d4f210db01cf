import type {RefusedVerdict, Work} from './state.js';

/** Retry-After of a refusal when no end of the overload can be foreseen. */
export const UNKNOWN_RETRY_AFTER_MS = 1000;

/**
 * Refuses a request.
 *
 * @example
 * refuse(work, 'cancelled', 0);
 */
export function refuse(
  work: Work,
  reason: RefusedVerdict['reason'],
  retryAfterMs: number,
): RefusedVerdict {
  return {kind: 'refused', work, reason, retryAfterMs};
}

/**
 * Refuses a request for lack of capacity. A repeat makes sense once the
 * requests that are before it now have been served.
 *
 * @param startsInMs Expected time until the request would have started.
 *
 * @example
 * refuseLate(work, 120).retryAfterMs; // 120
 */
export function refuseLate(work: Work, startsInMs: number): RefusedVerdict {
  const isKnown = Number.isFinite(startsInMs);
  const retryAfterMs = isKnown ? startsInMs : UNKNOWN_RETRY_AFTER_MS;
  return refuse(work, 'overloaded', retryAfterMs);
}
