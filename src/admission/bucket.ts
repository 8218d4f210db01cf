/** Requests that may be sent to an instance that names a limit. */
export interface TokenBucket {
  /** Rate at which it grows, in requests a second. */
  readonly perSecond: number;
  /** Requests that might be sent at the time `at`, at most a small burst. */
  readonly tokens: number;
  readonly updatedAt: number;
}

/**
 * What may be sent at once after a pause, as a time at the limit, in seconds, and
 * the least number of requests: timers of a busy process are late, and what is
 * beyond the burst by then is lost.
 */
const BURST_S = 0.2;
const MIN_BURST_TOKENS = 2;

/**
 * Lowest rate at which requests are sent, a second: only answers tell that an
 * instance takes more again, so that one that names nearly nothing gets a request
 * each two seconds.
 */
const MIN_REQUESTS_PER_SECOND = 0.5;

/** Rounding errors of what is left. */
const TOLERANCE_TOKENS = 1e-6;

const MS_PER_SECOND = 1000;

/**
 * Returns the allowance under a limit. An instance that has just named its first
 * one has been sent more than it takes, so that nothing is left at first.
 *
 * @param perSecond Limit in requests a second; undefined without one.
 *
 * @example
 * const allowance = allowanceOf(undefined, 18.1, performance.now());
 */
export function withRate(
  before: TokenBucket | undefined,
  perSecond: number | undefined,
  now: number,
): TokenBucket | undefined {
  if (perSecond === undefined) return undefined;
  const rate = Math.max(perSecond, MIN_REQUESTS_PER_SECOND);
  const tokens = before ? tokensAt(before, now) : 0;
  return {
    perSecond: rate,
    tokens: Math.min(tokens, burstTokens(rate)),
    updatedAt: now,
  };
}

function burstTokens(perSecond: number): number {
  return Math.max(MIN_BURST_TOKENS, perSecond * BURST_S);
}

function tokensAt(
  {perSecond, tokens: tokens, updatedAt: updatedAt}: TokenBucket,
  now: number,
): number {
  const grown = tokens + ((now - updatedAt) / MS_PER_SECOND) * perSecond;
  return Math.min(burstTokens(perSecond), grown);
}

/**
 * Tells whether a request may be sent now; without a limit it may.
 *
 * @example
 * if (maySend(allowance, now)) allowance = sendOne(allowance, now);
 */
export function hasToken(
  bucket: TokenBucket | undefined,
  now: number,
): boolean {
  return bucket === undefined || tokensAt(bucket, now) >= 1 - TOLERANCE_TOKENS;
}

/**
 * Counts a request that is sent.
 *
 * @example
 * allowance = sendOne(allowance, now);
 */
export function takeToken(bucket: TokenBucket, now: number): TokenBucket {
  return {...bucket, tokens: tokensAt(bucket, now) - 1, updatedAt: now};
}

/**
 * Returns the time at which a request may be sent behind others.
 *
 * @param ahead Requests that are to be sent before it.
 *
 * @example
 * sendableAt(allowance, 0); // when the next one may be sent
 */
export function tokenAvailableAt(
  {perSecond, tokens: tokens, updatedAt: updatedAt}: TokenBucket,
  ahead: number,
): number {
  return updatedAt + ((ahead + 1 - tokens) * MS_PER_SECOND) / perSecond;
}
