/** How long the answers of each route mostly are. */
export interface Lengths {
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
export function createLengths(): Lengths {
  const means = new Map<string, number>();
  return {
    observe: (route, bytes) => {
      if (!(bytes >= 0)) return;
      const known = means.get(route);
      const mean =
        known === undefined ? bytes : known + LENGTH_WEIGHT * (bytes - known);
      means.set(route, mean);
    },
    mean: route => means.get(route) ?? 0,
  };
}
