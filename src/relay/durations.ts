/**
 * How long the requests of each route take at the instances of a service, as far
 * as the daemons beside them have stated it.
 */
export interface RouteDurations {
  /** Records the mean duration of a route at a daemon's instance. */
  readonly observe: (node: string, route: string, meanMs: number) => void;
  /**
   * Returns the expected duration of a request, in milliseconds; undefined if
   * nothing is known of its route or of the instance.
   */
  readonly expectedMs: (node: string, route: string) => number | undefined;
}

/** Weight of the newest statement in the moving means. */
const MEAN_WEIGHT = 0.2;

/**
 * Creates the record of durations. An instance is compared with the others by
 * each route that it runs, since the mean of all its requests tells more about
 * which these are than about its speed.
 *
 * @example
 * const durations = createRouteDurations();
 * durations.observe('10.1.0.8:7620', 'orders', 380);
 * durations.expectedMs('10.1.0.8:7620', 'orders'); // 380
 */
export function createRouteDurations(): RouteDurations {
  /** Mean duration of each route at all instances. */
  const means = new Map<string, number>();
  /** Durations at each instance, relative to those means. */
  const relative = new Map<string, number>();
  return {
    observe: (node, route, meanMs) => {
      if (!(meanMs > 0)) return;
      const mean = movingMean(means.get(route), meanMs);
      means.set(route, mean);
      relative.set(node, movingMean(relative.get(node), meanMs / mean));
    },
    expectedMs: (node, route) => {
      const mean = means.get(route);
      const factor = relative.get(node);
      return mean === undefined || factor === undefined
        ? undefined
        : mean * factor;
    },
  };
}

function movingMean(previous: number | undefined, newest: number): number {
  return previous === undefined
    ? newest
    : previous + MEAN_WEIGHT * (newest - previous);
}
