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
  /**
   * Services in the shares of their weights; none where they can't be read, so
   * that requests are refused for now.
   */
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
  /** There are routes that can't be read, so that others are not ruled out. */
  readonly isPartial: boolean;
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
