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

/** The values of one site by path, as JSON texts. */
type Values = ReadonlyMap<string, string>;

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
      all.find(candidate => candidate.site === site);
    return siteDifferences(site, valuesOf(find(before)), valuesOf(find(after)));
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

function siteDifferences(
  site: string,
  before: Values,
  after: Values,
): readonly Difference[] {
  const paths = new Set([...before.keys(), ...after.keys()]);
  return [...paths]
    .sort()
    .filter(path => before.get(path) !== after.get(path))
    .map(path => ({
      site,
      path,
      ...(before.has(path) && {before: before.get(path)}),
      ...(after.has(path) && {after: after.get(path)}),
    }));
}

function valuesOf(site: Configuration | undefined): Values {
  const values = new Map<string, string>();
  if (!site) return values;
  collect(values, 'limits', site.limits);
  collect(values, 'weights', site.weights);
  for (const {name, ...service} of site.services) {
    collect(values, `services.${name}`, service);
  }
  return values;
}

function collect(
  values: Map<string, string>,
  path: string,
  value: unknown,
): void {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    if (value !== undefined) values.set(path, JSON.stringify(value));
    return;
  }
  for (const [name, part] of Object.entries(value)) {
    collect(values, `${path}.${name}`, part);
  }
}
