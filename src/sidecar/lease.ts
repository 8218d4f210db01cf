/** Bound for how much slower an instance's clock may run, with a reserve. */
const CLOCK_DRIFT_FACTOR = 1.03;

/** Time added to the end of a lease for timers that fire late. */
const TIMER_MARGIN_MS = 100;

/** Fraction of a lease after which it is renewed. */
export const RENEWAL_FRACTION = 0.3;

/**
 * Returns the time after its confirmation by which a lease has certainly
 * expired, even at an instance with the slowest tolerated clock.
 *
 * @example
 * leaseBoundMs(5000); // 5250
 */
export function leaseBoundMs(holdMs: number): number {
  return holdMs * CLOCK_DRIFT_FACTOR + TIMER_MARGIN_MS;
}
