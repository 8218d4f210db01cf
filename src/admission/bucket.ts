/** A token bucket for requests to an instance that reports a rate limit. */
export interface TokenBucket {
  /** Refill rate, in requests per second. */
  readonly perSecond: number;
  /** Tokens at the time `updatedAt`, limited to a small burst. */
  readonly tokens: number;
  readonly updatedAt: number;
}

/**
 * Capacity of the bucket, as seconds of refill, with a minimum number of tokens.
 * Timers of a busy process fire late, and tokens beyond the capacity are lost.
 */
const BURST_S = 0.2;
const MIN_BURST_TOKENS = 2;

/**
 * Minimum refill rate. Only responses report that a limit has increased, so an
 * instance that reports a limit near zero still receives a request every two
 * seconds.
 */
const MIN_REQUESTS_PER_SECOND = 0.5;

/** Allows for rounding errors in the number of tokens. */
const TOLERANCE_TOKENS = 1e-6;

const MS_PER_SECOND = 1000;

/**
 * Returns the bucket with another rate, or undefined without a limit. The rate
 * is raised to at least 0.5 requests per second. A new bucket starts empty: an
 * instance that reports its first limit has already received more requests than
 * it accepts.
 *
 * @param perSecond Limit in requests per second; undefined without a limit.
 *
 * @example
 * const bucket = withRate(undefined, 18.1, performance.now());
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
  {perSecond, tokens, updatedAt}: TokenBucket,
  now: number,
): number {
  const grown = tokens + ((now - updatedAt) / MS_PER_SECOND) * perSecond;
  return Math.min(burstTokens(perSecond), grown);
}

/**
 * Returns whether a request may be sent now; always true without a limit.
 *
 * @example
 * if (hasToken(bucket, now)) bucket = takeToken(bucket, now);
 */
export function hasToken(
  bucket: TokenBucket | undefined,
  now: number,
): boolean {
  return bucket === undefined || tokensAt(bucket, now) >= 1 - TOLERANCE_TOKENS;
}

/**
 * Returns the bucket after one request was sent.
 *
 * @example
 * bucket = takeToken(bucket, now);
 */
export function takeToken(bucket: TokenBucket, now: number): TokenBucket {
  return {...bucket, tokens: tokensAt(bucket, now) - 1, updatedAt: now};
}

/**
 * Returns the time at which a request may be sent.
 *
 * @param ahead Number of requests that are sent before it.
 *
 * @example
 * tokenAvailableAt(bucket, 0); // time at which the next request may be sent
 */
export function tokenAvailableAt(
  {perSecond, tokens, updatedAt}: TokenBucket,
  ahead: number,
): number {
  return updatedAt + ((ahead + 1 - tokens) * MS_PER_SECOND) / perSecond;
}
