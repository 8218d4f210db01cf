import type {Service} from '../model/index.js';

/** Path prefix of the protocols between daemons. */
export const PEER_PATH_PREFIX = '/vanillaspool.';

/**
 * Returns the path of a request target without its query. Accepts the absolute
 * form (`http://host/path`) as well.
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
 * Converts a request target to origin form, that is, path and query.
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
 * Returns whether a path has a `.` or `..` segment, plain or percent-encoded.
 * An upstream might resolve such a path to another service or key.
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
 * Finds the service of a path: the one with the longest path prefix that ends
 * at a segment boundary. Paths of the peer protocols belong to no service.
 *
 * @returns undefined if no service has a matching prefix.
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

/** Returns whether a path starts with a prefix of whole segments. */
function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (prefix.endsWith('/')) return true;
  return path.length === prefix.length || path[prefix.length] === '/';
}
