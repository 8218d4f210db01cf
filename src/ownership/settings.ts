/** Lease settings, which are the same for all daemons of a fleet. */
export interface LeaseSettings {
  /** Time for which a renewal is valid, in milliseconds. */
  readonly durationMs: number;
  /** Interval between renewals, in milliseconds. */
  readonly renewMs: number;
  /**
   * Maximum difference between the rates of two clocks, as a share of 1; from
   * 0 to less than 0.5.
   */
  readonly driftShare: number;
  /** Number of witnesses of each lease, odd. */
  readonly witnesses: number;
}

/**
 * Validates the settings, in particular that a lease survives the loss of one
 * renewal, and returns them.
 *
 * @throws {RangeError} when a value is out of range.
 *
 * @example
 * checkLeaseSettings({durationMs: 450, renewMs: 150, driftShare: 0.02, witnesses: 3});
 */
export function checkLeaseSettings(settings: LeaseSettings): LeaseSettings {
  const {durationMs, renewMs, driftShare, witnesses} = settings;
  if (!(renewMs > 0)) throw new RangeError('renewMs must be greater than 0');
  if (!(driftShare >= 0 && driftShare < 0.5)) {
    throw new RangeError('driftShare must be at least 0 and less than 0.5');
  }
  if (durationMs * (1 - driftShare) < 2 * renewMs) {
    throw new RangeError(
      'durationMs less the clock drift must be at least two times renewMs',
    );
  }
  if (!Number.isInteger(witnesses) || witnesses < 1 || witnesses % 2 === 0) {
    throw new RangeError('witnesses must be an odd integer of at least 1');
  }
  return settings;
}

/**
 * Returns the time for which a holder relies on a renewal, by its own clock, in
 * milliseconds. It is shortened by the drift, so that the holder stops before
 * any witness does.
 *
 * @example
 * holderLeaseMs({durationMs: 450, renewMs: 150, driftShare: 0.02, witnesses: 3}); // 441
 */
export function holderLeaseMs(settings: LeaseSettings): number {
  return settings.durationMs * (1 - settings.driftShare);
}

/**
 * Returns the time for which a witness observes a renewal, by its own clock, in
 * milliseconds. It is extended by the drift, so that it does not end before the
 * holder stops.
 *
 * @example
 * witnessLeaseMs({durationMs: 450, renewMs: 150, driftShare: 0.02, witnesses: 3}); // 459
 */
export function witnessLeaseMs(settings: LeaseSettings): number {
  return settings.durationMs * (1 + settings.driftShare);
}
