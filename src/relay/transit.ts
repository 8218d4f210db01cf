/**
 * Header of a forwarded request with the time at which it was sent at the latest,
 * in milliseconds of the receiver's clock.
 */
export const SENT_AT_HEADER = 'vanillaspool-sent-at';

/** By how much the clock of another daemon is ahead of this one's. */
export interface ClockDifference {
  /** Upper bound: too high by the time that a request took to be read. */
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

/** When a daemon read a request, by its own clock. */
export interface ClockReading {
  /** Time at which the request was sent, in milliseconds of this clock. */
  readonly sentAt: number;
  /** Its clock when it read the request, in milliseconds. */
  readonly readAt: number;
}

/**
 * Adds a reading of the clock of another daemon. The lowest measurement, of the
 * request that was read soonest, is kept.
 *
 * @param wallOffsetMs Wall clock minus monotonic clock, in milliseconds.
 *
 * @example
 * const reading = {sentAt: 990, readAt: 4995};
 * measureClock(undefined, reading, 1000, offset).aheadMs; // 4005
 */
export function measureClock(
  previous: ClockDifference | undefined,
  {sentAt, readAt}: ClockReading,
  now: number,
  wallOffsetMs: number,
): ClockDifference {
  const measured = {aheadMs: readAt - sentAt, measuredAt: now, wallOffsetMs};
  const known = clockAheadMs(previous, now, wallOffsetMs);
  const isKept = known !== undefined && known < measured.aheadMs;
  return previous && isKept ? previous : measured;
}

/**
 * Returns by how much the clock of another daemon is ahead, in milliseconds;
 * undefined if it was not measured, too long ago, or before a suspension.
 *
 * @example
 * clockAheadMs(measureClock(undefined, reading, 1000, offset), 1500, offset);
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
 * Returns for how long a forwarded request was on its way at least: in a queue of
 * its sender, on the link, or unread at the receiver, in milliseconds.
 *
 * @param sentAt The header that tells when it was sent at the latest.
 * @returns 0 if that is unknown.
 *
 * @example
 * transitMsOf(request.headers[SENT_AT_HEADER], performance.now());
 */
export function transitMsOf(
  sentAt: string | readonly string[] | undefined,
  readAt: number,
): number {
  if (typeof sentAt !== 'string' || !WHOLE_NUMBER.test(sentAt)) return 0;
  return Math.max(0, readAt - Number(sentAt));
}

const WHOLE_NUMBER = /^\d+$/;
