import type {Weights} from '../model/index.js';

/** Load of one slice, measured by its owner. */
export interface SliceLoad {
  readonly slice: number;
  /** Instance that owns the slice. */
  readonly owner: string;
  /** Mean number of the owner's slots occupied by requests for the slice. */
  readonly load: number;
  /** Whether all earlier terms of the slice have been released. */
  readonly isSettled: boolean;
}

/** Time in which the weight of a sample falls by half. */
export const LOAD_HALF_LIFE_MS = 10_000;

/**
 * Updates an exponential moving average of a load.
 *
 * @param previous Average so far; undefined before the first sample.
 * @param sample Mean load since the previous sample.
 * @param elapsedMs Time since the previous sample.
 *
 * @example
 * smooth(4, 8, LOAD_HALF_LIFE_MS); // 6
 */
export function smooth(
  previous: number | undefined,
  sample: number,
  elapsedMs: number,
): number {
  if (previous === undefined) return sample;
  const kept = 0.5 ** (elapsedMs / LOAD_HALF_LIFE_MS);
  return previous * kept + sample * (1 - kept);
}

/**
 * Returns the weight that a site gives to the disruption of a move relative to
 * imbalance: 1 if both weigh the same, higher if it prefers fewer moves.
 *
 * @throws {RangeError} when the weight of imbalance is not positive.
 *
 * @example
 * disruptionWeight({imbalance: 1, churn: 1, unavailable: 3}); // 2
 */
export function disruptionWeight(weights: Weights): number {
  const {imbalance, churn, unavailable} = weights;
  if (!(imbalance > 0)) {
    throw new RangeError(
      `expected a positive weight of imbalance, got ${imbalance}`,
    );
  }
  return (churn + unavailable) / 2 / imbalance;
}
