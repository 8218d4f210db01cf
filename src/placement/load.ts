import type {Weights} from '../model/index.js';

/** Load of one slice, as measured by its owner. */
export interface SliceLoad {
  readonly slice: number;
  /** Instance that owns the slice. */
  readonly owner: string;
  /** Mean number of the owner's slots that the slice's requests occupied. */
  readonly load: number;
  /** Whether no earlier term of the slice is still to be released. */
  readonly isSettled: boolean;
}

/** Time in which the weight of an old sample falls by half. */
export const LOAD_HALF_LIFE_MS = 10_000;

/**
 * Smooths a load exponentially.
 *
 * @param previous The smoothed load so far; undefined at the first sample.
 * @param sample Mean load since the last sample.
 * @param elapsedMs Time since the last sample.
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
 * Returns how much a site weighs the disruption of a move against imbalance:
 * 1 when both weigh the same, higher when it prefers to move less.
 *
 * @throws {RangeError} when the weight of imbalance is not positive.
 *
 * @example
 * reluctance({imbalance: 1, churn: 1, unavailable: 3}); // 2
 */
export function disruptionWeight(weights: Weights): number {
  const {imbalance, churn, unavailable} = weights;
  if (!(imbalance > 0)) {
    throw new RangeError(`weight of imbalance is not positive: ${imbalance}`);
  }
  return (churn + unavailable) / 2 / imbalance;
}
