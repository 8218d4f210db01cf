/**
 * What may be repeated of a route's requests.
 *
 * - `idempotent`: a request may run more than once.
 * - `once`: it runs at most once for each request of a caller.
 */
export type Repetition = 'idempotent' | 'once';

/** A service that takes a part of a route's requests. */
export interface RoutePart {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host and path prefix, and how they are handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Path prefix that begins and ends with a slash. */
  readonly prefix: string;
  readonly repetition: Repetition;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective in milliseconds. */
  readonly objectiveMs: number;
  /** Most instances to which one request may be sent. */
  readonly maxAttempts: number;
  /** Rank of the requests; 0 goes first. */
  readonly priority: number;
  /** Services in the shares of their weights; at least one. */
  readonly parts: readonly RoutePart[];
}

/** A service as the operator configures it. */
export interface RoutedService {
  readonly name: string;
  /** Each request carries a key, and each key is held by one instance. */
  readonly keyed: boolean;
  /** Connections that an instance accepts from all callers. */
  readonly connections: number;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  /** Time for which an idle connection of a caller is kept. */
  readonly idleTimeoutMs: number;
}

/** An accepted configuration. */
export interface RoutedConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
}

/** Routes by host, the longest prefix first. */
export type RouteTable = ReadonlyMap<string, readonly Route[]>;

/**
 * Orders routes for look-ups.
 *
 * @example
 * const table = createRouteTable(configuration.routes);
 */
export function createRouteTable(routes: readonly Route[]): RouteTable {
  const table = new Map<string, Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const known = table.get(host);
    if (known) known.push(route);
    else table.set(host, [route]);
  }
  for (const known of table.values()) {
    known.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  return table;
}

/**
 * Finds the route of a request: of its host's routes the one with the longest
 * prefix that begins the path.
 *
 * @param host Value of the Host header; a port is passed over.
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

/** Objective relative to the longest of a service up to which work is short. */
const SHORT_SHARE = 0.5;

/**
 * Finds the routes whose requests are short work at their service, by the
 * latency objectives of the routes to it.
 *
 * @returns the names of these routes.
 *
 * @example
 * findShortRoutes(configuration.routes).has('status-look-up');
 */
export function findShortRoutes(routes: readonly Route[]): ReadonlySet<string> {
  const longest = new Map<string, number>();
  for (const {parts, objectiveMs} of routes) {
    for (const {service} of parts) {
      const known = longest.get(service) ?? 0;
      longest.set(service, Math.max(known, objectiveMs));
    }
  }
  const isShort = ({parts, objectiveMs}: Route) =>
    parts.every(
      ({service}) => objectiveMs <= (longest.get(service) ?? 0) * SHORT_SHARE,
    );
  return new Set(routes.filter(isShort).map(route => route.name));
}
