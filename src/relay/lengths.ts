/** Mean length of the answers of each route. */
export interface AnswerLengths {
  /** Records the length of an answer in bytes; NaN if it is not stated. */
  readonly observe: (route: string, bytes: number) => void;
  /** Returns the mean length in bytes; 0 if none was recorded. */
  readonly mean: (route: string) => number;
}

/** Weight of the newest answer in the moving mean. */
const LENGTH_WEIGHT = 0.1;

/**
 * Creates the record of mean answer lengths, by which long answers are
 * requested from instances in the own failure domain.
 *
 * @example
 * const lengths = createAnswerLengths();
 * lengths.observe('maps', 90_000);
 * lengths.mean('maps'); // 90_000
 */
export function createAnswerLengths(): AnswerLengths {
  const means = new Map<string, number>();
  return {
    observe: (route, bytes) => {
      if (!(bytes >= 0)) return;
      const previous = means.get(route);
      const mean =
        previous === undefined
          ? bytes
          : previous + LENGTH_WEIGHT * (bytes - previous);
      means.set(route, mean);
    },
    mean: route => means.get(route) ?? 0,
  };
}
