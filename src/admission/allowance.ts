/** Requests that may be sent to an instance that names a limit. */
export interface Allowance {
  /** Rate at which it grows, in requests a second. */
  readonly perSecond: number;
  /** Requests that might be sent at the time `at`, at most a small burst. */
  readonly left: number;
  readonly at: number;
}

/**
 * What may be sent at once after a pause, as a time at the limit, in seconds, and
 * the least number of requests: timers of a busy process are late, and what is
 * beyond the burst by then is lost.
 */
const BURST_S = 0.2;
const LEAST_BURST = 2;

/**
 * Lowest rate at which requests are sent, a second: only answers tell that an
 * instance takes more again, so that one that names nearly nothing gets a request
 * each two seconds.
 */
const LEAST_PER_SECOND = 0.5;

/** Rounding errors of what is left. */
const ROUNDING = 1e-6;

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
export function allowanceOf(
  before: Allowance | undefined,
  perSecond: number | undefined,
  now: number,
): Allowance | undefined {
  if (perSecond === undefined) return undefined;
  const rate = Math.max(perSecond, LEAST_PER_SECOND);
  const left = before ? leftAt(before, now) : 0;
  return {perSecond: rate, left: Math.min(left, burstOf(rate)), at: now};
}

function burstOf(perSecond: number): number {
  return Math.max(LEAST_BURST, perSecond * BURST_S);
}

function leftAt({perSecond, left, at}: Allowance, now: number): number {
  const grown = left + ((now - at) / MS_PER_SECOND) * perSecond;
  return Math.min(burstOf(perSecond), grown);
}

/**
 * Tells whether a request may be sent now; without a limit it may.
 *
 * @example
 * if (maySend(allowance, now)) allowance = sendOne(allowance, now);
 */
export function maySend(
  allowance: Allowance | undefined,
  now: number,
): boolean {
  return allowance === undefined || leftAt(allowance, now) >= 1 - ROUNDING;
}

/**
 * Counts a request that is sent.
 *
 * @example
 * allowance = sendOne(allowance, now);
 */
export function sendOne(allowance: Allowance, now: number): Allowance {
  return {...allowance, left: leftAt(allowance, now) - 1, at: now};
}

/**
 * Returns the time at which a request may be sent behind others.
 *
 * @param ahead Requests that are to be sent before it.
 *
 * @example
 * sendableAt(allowance, 0); // when the next one may be sent
 */
export function sendableAt(
  {perSecond, left, at}: Allowance,
  ahead: number,
): number {
  return at + ((ahead + 1 - left) * MS_PER_SECOND) / perSecond;
}
