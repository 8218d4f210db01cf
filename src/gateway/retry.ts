import type {Failure} from '../model/index.js';

/** What is known when an attempt to run a request failed. */
export interface RetryCandidate {
  readonly failure: Failure;
  /** The method is safe or idempotent. */
  readonly idempotent: boolean;
  /** The body is empty or was kept whole. */
  readonly replayable: boolean;
  /** Another attempt could end differently. */
  readonly hasAlternative: boolean;
}

/** What follows a failed attempt. */
export type RetryDecision = 'retry' | 'give-up';

/**
 * Decides whether a request is sent again: only when it was certainly not run
 * or is idempotent, and its body can be replayed whole. The retry budget is
 * asked last, so that it counts only retries that are made.
 *
 * @example
 * decideRetry(attempt, () => true); // 'retry' or 'give-up'
 */
export function decideRetry(
  attempt: RetryCandidate,
  takeRetry: () => boolean,
): RetryDecision {
  const {
    failure,
    idempotent,
    replayable,
    hasAlternative: hasAlternative,
  } = attempt;
  if (!hasAlternative || !replayable) return 'give-up';
  if (failure.outcome === 'unknown' && !idempotent) return 'give-up';
  return takeRetry() ? 'retry' : 'give-up';
}

const IDEMPOTENT: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
]);

const SAFE: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Tells whether running a request twice has the effect of running it once.
 *
 * @example
 * isIdempotent('POST'); // false
 */
export function isIdempotent(method: string): boolean {
  return IDEMPOTENT.has(method);
}

/**
 * Tells whether a method changes nothing at the upstream.
 *
 * @example
 * isSafe('DELETE'); // false
 */
export function isSafe(method: string): boolean {
  return SAFE.has(method);
}
