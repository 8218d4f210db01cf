import type {Configuration} from '../model/index.js';

/** One value that differs between two configurations. */
export interface Difference {
  readonly site: string;
  /** Path of the value, such as `services.rota-display.deadlineMs`. */
  readonly path: string;
  /** JSON text of the earlier value; absent if it is new. */
  readonly before?: string;
  /** JSON text of the later value; absent if it is removed. */
  readonly after?: string;
}

/**
 * Lists the values that differ between two configurations of all sites, by
 * site and path.
 *
 * @example
 * differences(current.sites, proposed.sites).map(formatDifference);
 */
export function differences(
  before: readonly Configuration[],
  after: readonly Configuration[],
): readonly Difference[] {
  const sites = new Set([...before, ...after].map(({site}) => site));
  return [...sites].sort().flatMap(site => {
    const find = (all: readonly Configuration[]) =>
      comparedFields(all.find(candidate => candidate.site === site));
    return compare(find(before), find(after), '').map(found => ({
      site,
      ...found,
    }));
  });
}

/**
 * Formats a difference on one line, with `-` for the earlier value.
 *
 * @example
 * formatDifference({site: 'x', path: 'limits.queue', before: '1', after: '2'});
 * // 'x limits.queue: 1 -> 2'
 */
export function formatDifference(difference: Difference): string {
  const {site, path, before = 'absent', after = 'absent'} = difference;
  return `${site} ${path}: ${before} -> ${after}`;
}

/** The parts of a configuration that are compared, with services by name. */
function comparedFields(site: Configuration | undefined): object {
  if (!site) return {services: {}};
  const {services, limits, weights} = site;
  const byName = services.map(({name, ...service}) => [name, service]);
  return {services: Object.fromEntries(byName), limits, weights};
}

function compare(
  before: unknown,
  after: unknown,
  path: string,
): readonly Omit<Difference, 'site'>[] {
  if (isObject(before) && isObject(after)) {
    const names = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...names].sort().flatMap(name => {
      const below = path === '' ? name : `${path}.${name}`;
      return compare(before[name], after[name], below);
    });
  }
  const [earlier, later] = [JSON.stringify(before), JSON.stringify(after)];
  if (earlier === later) return [];
  return [
    {
      path,
      ...(before !== undefined && {before: earlier}),
      ...(after !== undefined && {after: later}),
    },
  ];
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
