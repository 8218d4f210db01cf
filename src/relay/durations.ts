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
 * Time for which statements of an instance count, in milliseconds. One that was
 * slow gets hardly any requests, and could not state that it is fast again.
 */
const VALID_MS = 10_000;

/**
 * Creates the record of durations. Of a route that an instance has not run yet,
 * its duration there follows from the routes that it has run, compared with the
 * other instances. The mean of all its requests would tell more about which these
 * are than about its speed. An instance whose statements are old counts as usual.
 *
 * @param clock Returns the time in milliseconds.
 *
 * @example
 * const durations = createRouteDurations(() => performance.now());
 * durations.observe('10.1.0.8:7620', 'orders', 380);
 * durations.expectedMs('10.1.0.8:7620', 'orders'); // 380
 */
export function createRouteDurations(clock: () => number): RouteDurations {
  /** Mean duration of each route at all instances. */
  const means = new Map<string, number>();
  const instances = new Map<string, InstanceDurations>();
  return {
    observe: (node, route, meanMs) => {
      if (!(meanMs > 0)) return;
      const mean = movingMean(means.get(route), meanMs);
      means.set(route, mean);
      const now = clock();
      const known = instances.get(node);
      const byRoute = known?.byRoute ?? new Map<string, Statement>();
      byRoute.set(route, {value: meanMs, at: now});
      const value = movingMean(valueAt(known?.relative, now), meanMs / mean);
      instances.set(node, {byRoute, relative: {value, at: now}});
    },
    expectedMs: (node, route) => {
      const known = instances.get(node);
      if (!known) return undefined;
      const now = clock();
      const stated = valueAt(known.byRoute.get(route), now);
      if (stated !== undefined) return stated;
      const mean = means.get(route);
      const relative = valueAt(known.relative, now) ?? 1;
      return mean === undefined ? undefined : mean * relative;
    },
  };
}

interface Statement {
  readonly value: number;
  /** Time of the statement, in milliseconds. */
  readonly at: number;
}

/** What an instance has stated. */
interface InstanceDurations {
  /** Last stated duration of each route, in milliseconds. */
  readonly byRoute: Map<string, Statement>;
  /** Durations there, relative to the means of all instances. */
  readonly relative: Statement;
}

function valueAt(
  statement: Statement | undefined,
  now: number,
): number | undefined {
  return statement && now - statement.at <= VALID_MS
    ? statement.value
    : undefined;
}

function movingMean(previous: number | undefined, newest: number): number {
  return previous === undefined
    ? newest
    : previous + MEAN_WEIGHT * (newest - previous);
}
