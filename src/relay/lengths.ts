/** How long the answers of each route mostly are. */
export interface AnswerLengths {
  /** Takes the length of an answer in bytes; NaN where it is not stated. */
  readonly observe: (route: string, bytes: number) => void;
  /** Returns the mean length in bytes; 0 where none was observed. */
  readonly mean: (route: string) => number;
}

/** Weight of the newest answer in the moving mean. */
const LENGTH_WEIGHT = 0.1;

/**
 * Creates the memory of how long answers are, so that long ones are asked for
 * where they travel least.
 *
 * @example
 * const lengths = createLengths();
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
