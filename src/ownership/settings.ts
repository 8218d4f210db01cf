/** Durations that all daemons of a fleet agree on. */
export interface LeaseSettings {
  /** How long a renewal is observed, in milliseconds. */
  readonly durationMs: number;
  /** Time between renewals, in milliseconds. */
  readonly renewMs: number;
  /** Bound on the difference between the rates of two clocks, from 0 to 1. */
  readonly driftShare: number;
  /** Witnesses of each lease. */
  readonly witnesses: number;
}

/**
 * Checks that a lease survives the loss of one renewal and returns the settings.
 *
 * @throws {RangeError} when a value is out of range.
 *
 * @example
 * checkLeaseSettings({durationMs: 450, renewMs: 150, driftShare: 0.02, witnesses: 3});
 */
export function checkLeaseSettings(settings: LeaseSettings): LeaseSettings {
  const {durationMs, renewMs, driftShare, witnesses} = settings;
  if (!(renewMs > 0)) throw new RangeError('renewMs is not above 0');
  if (!(driftShare >= 0 && driftShare < 0.5)) {
    throw new RangeError('driftShare is not from 0 to 0.5');
  }
  if (durationMs * (1 - driftShare) < 2 * renewMs) {
    throw new RangeError('durationMs is under two renewals');
  }
  if (!Number.isInteger(witnesses) || witnesses < 1 || witnesses % 2 === 0) {
    throw new RangeError('witnesses is not an odd whole number');
  }
  return settings;
}

/**
 * How long a holder counts a renewal, by its own clock.
 *
 * @example
 * holderMs({durationMs: 450, renewMs: 150, driftShare: 0.02, witnesses: 3}); // 441
 */
export function holderLeaseMs(settings: LeaseSettings): number {
  return settings.durationMs * (1 - settings.driftShare);
}

/**
 * How long a witness observes a renewal, by its own clock.
 *
 * @example
 * witnessMs({durationMs: 450, renewMs: 150, driftShare: 0.02, witnesses: 3}); // 459
 */
export function witnessLeaseMs(settings: LeaseSettings): number {
  return settings.durationMs * (1 + settings.driftShare);
}
