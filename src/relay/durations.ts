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
 * Creates the record of durations. Of a route that an instance has not run yet,
 * its duration there follows from the routes that it has run, compared with the
 * other instances. The mean of all its requests would tell more about which these
 * are than about its speed.
 *
 * @example
 * const durations = createRouteDurations();
 * durations.observe('10.1.0.8:7620', 'orders', 380);
 * durations.expectedMs('10.1.0.8:7620', 'orders'); // 380
 */
export function createRouteDurations(): RouteDurations {
  /** Mean duration of each route at all instances. */
  const means = new Map<string, number>();
  const instances = new Map<string, InstanceDurations>();
  return {
    observe: (node, route, meanMs) => {
      if (!(meanMs > 0)) return;
      const mean = movingMean(means.get(route), meanMs);
      means.set(route, mean);
      const {byRoute, relative} = instances.get(node) ?? {byRoute: new Map()};
      byRoute.set(route, meanMs);
      const next = movingMean(relative, meanMs / mean);
      instances.set(node, {byRoute, relative: next});
    },
    expectedMs: (node, route) => {
      const known = instances.get(node);
      const stated = known?.byRoute.get(route);
      if (stated !== undefined) return stated;
      const mean = means.get(route);
      const {relative} = known ?? {};
      return mean === undefined || relative === undefined
        ? undefined
        : mean * relative;
    },
  };
}

/** What an instance has stated. */
interface InstanceDurations {
  /** Last stated duration of each route, in milliseconds. */
  readonly byRoute: Map<string, number>;
  /** Durations there, relative to the means of all instances. */
  readonly relative?: number;
}

function movingMean(previous: number | undefined, newest: number): number {
  return previous === undefined
    ? newest
    : previous + MEAN_WEIGHT * (newest - previous);
}
