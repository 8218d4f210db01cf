/** Rate by which an instance's clock may run slow, with a reserve. */
const CLOCK_FACTOR = 1.03;

/** Time beyond the end of a hold that covers late timers. */
const HOLD_MARGIN_MS = 100;

/** Share of a hold after which it is renewed. */
export const RENEWAL_SHARE = 0.3;

/**
 * Returns the time after which a hold that was confirmed earlier has certainly
 * run out, by the slowest clock.
 *
 * @example
 * holdBoundMs(5000); // 5250
 */
export function holdBoundMs(holdMs: number): number {
  return holdMs * CLOCK_FACTOR + HOLD_MARGIN_MS;
}
