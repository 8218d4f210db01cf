import type {Failure} from '../model/index.js';

/** The properties of a failed attempt that decide on a retry. */
export interface RetryCandidate {
  readonly failure: Failure;
  /** The method is safe or idempotent. */
  readonly idempotent: boolean;
  /** The body can be sent again: it is empty, buffered or not read yet. */
  readonly replayable: boolean;
  /** Another attempt could succeed. */
  readonly hasAlternative: boolean;
}

/** Decision after a failed attempt. */
export type RetryDecision = 'retry' | 'give-up';

/**
 * Decides whether a request is sent again: only if it was certainly not run or
 * is idempotent, and its whole body can be sent again. The retry budget is
 * checked last, so that it is charged only for retries that are made.
 *
 * @example
 * decideRetry(attempt, () => true); // 'retry' or 'give-up'
 */
export function decideRetry(
  attempt: RetryCandidate,
  takeRetry: () => boolean,
): RetryDecision {
  const {failure, idempotent, replayable, hasAlternative} = attempt;
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
 * Returns whether running a request twice has the same effect as running it
 * once.
 *
 * @example
 * isIdempotent('POST'); // false
 */
export function isIdempotent(method: string): boolean {
  return IDEMPOTENT.has(method);
}

/**
 * Returns whether a method changes no state at the upstream.
 *
 * @example
 * isSafe('DELETE'); // false
 */
export function isSafe(method: string): boolean {
  return SAFE.has(method);
}
