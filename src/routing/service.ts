import type {Service} from '../model/index.js';

/** Paths that begin so belong to the protocols between daemons. */
export const PEER_PATH_PREFIX = '/vanillaspool.';

/**
 * Returns the path of a request target, without its query. An absolute target
 * (`http://host/path`) is reduced to its path.
 *
 * @returns undefined for a target without a path, such as `*`.
 *
 * @example
 * pathOf('/rota/night-desk?week=3'); // '/rota/night-desk'
 */
export function pathOf(target: string): string | undefined {
  const origin = originForm(target);
  if (origin === undefined) return undefined;
  const query = origin.indexOf('?');
  return query < 0 ? origin : origin.slice(0, query);
}

/**
 * Returns a request target in origin form: its path and query.
 *
 * @returns undefined for a target without a path.
 *
 * @example
 * originForm('http://localhost/rota?week=3'); // '/rota?week=3'
 */
export function originForm(target: string): string | undefined {
  if (target.startsWith('/')) return target;
  const absolute = /^https?:\/\/[^/?#]+(\/.*)$/i.exec(target);
  return absolute?.[1];
}

/**
 * Tells whether a path has a `.` or `..` segment, also percent-encoded, which
 * an upstream might resolve to a path of another service or key.
 *
 * @example
 * hasDotSegment('/rota/%2e%2E/swaps'); // true
 */
export function hasDotSegment(path: string): boolean {
  if (!path.includes('/.') && !path.includes('%2')) return false;
  const decoded = path.replace(/%2e/gi, '.');
  return /\/\.\.?(\/|$)/.test(decoded);
}

/**
 * Finds the service of a path: the one with the longest prefix that ends at a
 * segment boundary. Paths of the peer protocol belong to no service.
 *
 * @example
 * findService(configuration.services, '/rota/night-desk')?.name; // 'rota-display'
 */
export function findService(
  services: readonly Service[],
  path: string,
): Service | undefined {
  if (path.startsWith(PEER_PATH_PREFIX)) return undefined;
  let found: Service | undefined;
  for (const service of services) {
    if (!hasPrefix(path, service.pathPrefix)) continue;
    if (found && found.pathPrefix.length >= service.pathPrefix.length) continue;
    found = service;
  }
  return found;
}

function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (prefix.endsWith('/')) return true;
  return path.length === prefix.length || path[prefix.length] === '/';
}
