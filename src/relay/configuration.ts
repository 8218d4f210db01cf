/**
 * How often a request of a route may run.
 *
 * - `idempotent`: it may run more than once.
 * - `once`: it runs at most once for each request of a caller.
 */
export type Repetition = 'idempotent' | 'once';

/** A service that receives a share of a route's requests. */
export interface RoutePart {
  readonly service: string;
  readonly weight: number;
}

/**
 * A route: the requests of one host and path prefix, and how they are handled.
 */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly repetition: Repetition;
  /** Longest time until the answer to a caller, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective in milliseconds. */
  readonly objectiveMs: number;
  /** Largest number of instances to which one request may be sent. */
  readonly maxAttempts: number;
  /** Priority of the requests; 0 is the highest. */
  readonly priority: number;
  /**
   * Services that share the requests by weight. Empty if the services of the
   * route are malformed in the configuration; its requests are then refused.
   */
  readonly parts: readonly RoutePart[];
}

/** A service of the configuration. */
export interface RoutedService {
  readonly name: string;
  /** Each request carries a key, and each key is held by one instance. */
  readonly keyed: boolean;
  /** Connections that an instance accepts from all callers together. */
  readonly connections: number;
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  /**
   * Time after which an idle connection of a caller is closed, in milliseconds.
   */
  readonly idleTimeoutMs: number;
}

/** An accepted configuration. */
export interface RoutedConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  /**
   * Some routes are malformed, so that a request without a known route may
   * belong to one of them.
   */
  readonly isPartial: boolean;
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
}

/** Routes by host, longest prefix first. */
export type RouteTable = ReadonlyMap<string, readonly Route[]>;

/**
 * Creates the table in which the route of a request is looked up.
 *
 * @example
 * const table = createRouteTable(configuration.routes);
 */
export function createRouteTable(routes: readonly Route[]): RouteTable {
  const table = new Map<string, Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const hostRoutes = table.get(host);
    if (hostRoutes) hostRoutes.push(route);
    else table.set(host, [route]);
  }
  for (const hostRoutes of table.values()) {
    hostRoutes.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  return table;
}

/**
 * Finds the route of a request: the one of its host with the longest matching
 * path prefix.
 *
 * @param host Value of the Host header; a port is ignored.
 *
 * @example
 * findRoute(table, 'desk.example:8080', '/rota/today')?.name;
 */
export function findRoute(
  table: RouteTable,
  host: string,
  path: string,
): Route | undefined {
  const name = host.toLowerCase().replace(/:\d+$/, '');
  return table.get(name)?.find(route => path.startsWith(route.prefix));
}
