/**
 * Header of a forwarded request with the time at which it was sent, in
 * milliseconds of the receiver's clock as the sender knows it.
 */
export const SENT_AT_HEADER = 'vanillaspool-sent-at';

/** By how much the clock of another daemon is ahead of this one's. */
export interface ClockDifference {
  /** Lower bound: too low by the time that an answer took to arrive. */
  readonly aheadMs: number;
  /** Time of the measurement, in milliseconds. */
  readonly measuredAt: number;
  /**
   * Wall clock minus monotonic clock then, in milliseconds; changes when this
   * machine was suspended.
   */
  readonly wallOffsetMs: number;
}

/**
 * Time for which a measurement is used, in milliseconds; the clocks of two
 * machines drift apart by less than a millisecond meanwhile.
 */
const MAX_AGE_MS = 10_000;

/**
 * Change of the wall clock against the monotonic clock from which a suspension
 * is assumed, in milliseconds.
 */
const MAX_WALL_SHIFT_MS = 50;

/**
 * Adds a reading of the clock of another daemon, from an answer that arrives
 * now. The highest measurement, of the fastest answer, is kept.
 *
 * @param readingMs Its clock when it sent the answer, in milliseconds.
 * @param wallOffsetMs Wall clock minus monotonic clock, in milliseconds.
 *
 * @example
 * measureClock(undefined, 5040, 1000, offset).aheadMs; // 4040
 */
export function measureClock(
  previous: ClockDifference | undefined,
  readingMs: number,
  now: number,
  wallOffsetMs: number,
): ClockDifference {
  const measured = {aheadMs: readingMs - now, measuredAt: now, wallOffsetMs};
  const known = clockAheadMs(previous, now, wallOffsetMs);
  const isBetter = known === undefined || measured.aheadMs >= known;
  return previous === undefined || isBetter ? measured : previous;
}

/**
 * Returns by how much the clock of another daemon is ahead, in milliseconds;
 * undefined if it was not measured, too long ago, or before a suspension.
 *
 * @example
 * clockAheadMs(measureClock(undefined, 5040, 1000, offset), 1500, offset);
 */
export function clockAheadMs(
  difference: ClockDifference | undefined,
  now: number,
  wallOffsetMs: number,
): number | undefined {
  if (!difference || now - difference.measuredAt > MAX_AGE_MS) return undefined;
  const shiftMs = Math.abs(wallOffsetMs - difference.wallOffsetMs);
  return shiftMs > MAX_WALL_SHIFT_MS ? undefined : difference.aheadMs;
}

/**
 * Returns for how long a forwarded request was on its way: in a queue of its
 * sender, on the link, or unread at the receiver, in milliseconds.
 *
 * @param sentAt The header that tells when it was sent.
 * @returns 0 if that is unknown.
 *
 * @example
 * transitMsOf(request.headers[SENT_AT_HEADER], performance.now());
 */
export function transitMsOf(
  sentAt: string | readonly string[] | undefined,
  readAt: number,
): number {
  if (typeof sentAt !== 'string') return 0;
  const transitMs = readAt - Number(sentAt);
  return transitMs > 0 ? transitMs : 0;
}
