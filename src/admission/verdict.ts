import type {RefusedVerdict, TrackedRequest} from './state.js';

/** Retry-After of a refusal if the start time of the request cannot be estimated. */
export const DEFAULT_RETRY_AFTER_MS = 1000;

/**
 * Creates the verdict that refuses a request.
 *
 * @example
 * refuse(request, 'cancelled', 0);
 */
export function refuse(
  request: TrackedRequest,
  reason: RefusedVerdict['reason'],
  retryAfterMs: number,
): RefusedVerdict {
  return {kind: 'refused', request, reason, retryAfterMs};
}

/**
 * Creates the verdict that refuses a request for lack of capacity. Suggests a
 * retry once the requests currently ahead of it have been served.
 *
 * @param startDelayMs Expected time until the request would have started.
 *
 * @example
 * refuseOverloaded(request, 120).retryAfterMs; // 120
 */
export function refuseOverloaded(
  request: TrackedRequest,
  startDelayMs: number,
): RefusedVerdict {
  const isKnown = Number.isFinite(startDelayMs);
  const retryAfterMs = isKnown ? startDelayMs : DEFAULT_RETRY_AFTER_MS;
  return refuse(request, 'overloaded', retryAfterMs);
}
