/** Rate by which an instance's clock may run slow, with a reserve. */
const CLOCK_DRIFT_FACTOR = 1.03;

/** Time beyond the end of a hold that covers late timers. */
const TIMER_MARGIN_MS = 100;

/** Share of a hold after which it is renewed. */
export const RENEWAL_FRACTION = 0.3;

/**
 * Returns the time after which a hold that was confirmed earlier has certainly
 * run out, by the slowest clock.
 *
 * @example
 * holdBoundMs(5000); // 5250
 */
export function leaseBoundMs(holdMs: number): number {
  return holdMs * CLOCK_DRIFT_FACTOR + TIMER_MARGIN_MS;
}
