import type {RefusedVerdict, TrackedRequest} from './state.js';

/** Retry-After of a refusal when no end of the overload can be foreseen. */
export const DEFAULT_RETRY_AFTER_MS = 1000;

/**
 * Refuses a request.
 *
 * @example
 * refuse(work, 'cancelled', 0);
 */
export function refuse(
  request: TrackedRequest,
  reason: RefusedVerdict['reason'],
  retryAfterMs: number,
): RefusedVerdict {
  return {kind: 'refused', request: request, reason, retryAfterMs};
}

/**
 * Refuses a request for lack of capacity. A repeat makes sense once the
 * requests that are before it now have been served.
 *
 * @param startDelayMs Expected time until the request would have started.
 *
 * @example
 * refuseLate(work, 120).retryAfterMs; // 120
 */
export function refuseOverloaded(
  request: TrackedRequest,
  startDelayMs: number,
): RefusedVerdict {
  const isKnown = Number.isFinite(startDelayMs);
  const retryAfterMs = isKnown ? startDelayMs : DEFAULT_RETRY_AFTER_MS;
  return refuse(request, 'overloaded', retryAfterMs);
}
