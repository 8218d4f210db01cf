import {z} from 'zod';
import {checkTree} from './check.js';
import {
  SLICES_DEFAULT,
  serviceSchema,
  type ServiceDeclaration,
} from './declaration.js';
import {findingAt, type Finding} from './finding.js';
import {fieldOf, positionOf, treeAt, type Field, type Tree} from './tree.js';

/** Fields that only a keyed service may state. */
const KEYED_FIELDS = ['slices', 'chunks', 'successors'] as const;

/** Fields of a service on which all sites must agree. */
const FLEET_FIELDS = [
  ['pathPrefix'],
  ['key'],
  ['slices'],
  ['chunks'],
  ['fencing'],
  ['handover', 'share'],
  ['handover', 'prefixes'],
] as const;

/** The merged declarations of one site with their places. */
export interface SiteTree {
  readonly site: string;
  readonly tree: Tree;
}

/** One service of a merged tree; a field that is invalid by itself is absent. */
interface PartialService {
  readonly name: string;
  readonly tree: Tree;
  readonly fields: Partial<ServiceDeclaration>;
}

/**
 * Finds the faults between the fields and services of one site.
 *
 * @example
 * siteFindings(tree('{"services": {"a": {"pathPrefix": "/x"}, "b": {"pathPrefix": "/x"}}}'));
 */
export function siteFindings(tree: Tree): readonly Finding[] {
  const services = partialServices(tree);
  return [...services.flatMap(serviceFindings), ...prefixOverlaps(services)];
}

/**
 * Finds the services whose sites disagree on a field that decides which
 * instance owns a key.
 *
 * @example
 * fleetFindings([{site: 'a', tree: a}, {site: 'b', tree: b}]);
 */
export function fleetFindings(sites: readonly SiteTree[]): readonly Finding[] {
  const findings: Finding[] = [];
  const first = new Map<
    string,
    {readonly site: string; readonly draft: PartialService}
  >();
  for (const {site, tree} of sites) {
    for (const draft of partialServices(tree)) {
      const other = first.get(draft.name);
      if (!other) first.set(draft.name, {site, draft});
      else findings.push(...disagreements(draft, other.draft, other.site));
    }
  }
  return findings;
}

function partialServices(tree: Tree): readonly PartialService[] {
  const services = treeAt(tree, ['services']);
  if (services?.kind !== 'object') return [];
  return services.fields.map(partialService);
}

function partialService(field: Field): PartialService {
  const shape = serviceSchema.shape;
  const fields: Record<string, unknown> = {};
  for (const [name, schema] of Object.entries(shape)) {
    const part = fieldOf(field.value, name)?.value;
    if (part) fields[name] = checkTree(schema as z.ZodType, part).value;
  }
  return {name: field.name, tree: field.value, fields};
}

function serviceFindings(service: PartialService): readonly Finding[] {
  const keyed = fieldOf(service.tree, 'key') !== undefined;
  const findings = keyed ? keyedFindings(service) : unkeyedFindings(service);
  const prefix = service.fields.pathPrefix;
  if (prefix === undefined || !/[{}]/.test(prefix)) return findings;
  const position = positionOf(service.tree, ['pathPrefix']);
  return [...findings, findingAt(position, 'a path prefix has no "{key}"')];
}

function keyedFindings(service: PartialService): readonly Finding[] {
  const {chunks = 1, pathPrefix, key} = service.fields;
  const slices = slicesOf(service);
  const findings: Finding[] = [];
  if (slices !== undefined && chunks > slices) {
    const message = `${chunks} chunks are more than ${slices} slices`;
    findings.push(findingAt(positionOf(service.tree, ['chunks']), message));
  }
  if (key?.path && pathPrefix && !key.path.startsWith(pathPrefix)) {
    const message = `key path is not under the path prefix "${pathPrefix}"`;
    findings.push(
      findingAt(positionOf(service.tree, ['key', 'path']), message),
    );
  }
  return findings;
}

function slicesOf(service: PartialService): number | undefined {
  const stated = fieldOf(service.tree, 'slices') !== undefined;
  return stated ? service.fields.slices : SLICES_DEFAULT;
}

function unkeyedFindings(service: PartialService): readonly Finding[] {
  const findings = KEYED_FIELDS.flatMap(name => {
    const field = fieldOf(service.tree, name);
    if (!field) return [];
    const message = `"${name}" has no meaning for a service without "key"`;
    return [findingAt(field.position, message)];
  });
  const prefixes = service.fields.handover?.prefixes ?? [];
  if (prefixes.length === 0) return findings;
  const message = 'key prefixes have no meaning for a service without "key"';
  const position = positionOf(service.tree, ['handover', 'prefixes']);
  return [...findings, findingAt(position, message)];
}

function prefixOverlaps(
  services: readonly PartialService[],
): readonly Finding[] {
  return services.flatMap((service, index) => {
    const other = services
      .slice(0, index)
      .find(o => prefixesOverlap(o, service));
    if (!other) return [];
    const message =
      `path prefix overlaps with "${other.fields.pathPrefix}"` +
      ` of service "${other.name}"`;
    const position = positionOf(service.tree, ['pathPrefix']);
    return [findingAt(position, message)];
  });
}

function prefixesOverlap(a: PartialService, b: PartialService): boolean {
  const left = a.fields.pathPrefix;
  const right = b.fields.pathPrefix;
  if (left === undefined || right === undefined) return false;
  return left.startsWith(right) || right.startsWith(left);
}

function disagreements(
  service: PartialService,
  other: PartialService,
  site: string,
): readonly Finding[] {
  return FLEET_FIELDS.flatMap(path => {
    if (isEqualAt(service.fields, other.fields, path)) return [];
    const message =
      `"${path.join('.')}" of service "${service.name}"` +
      ` differs from that of site "${site}"`;
    const hint = 'a key has one owner across all sites';
    return [findingAt(positionOf(service.tree, path), message, hint)];
  });
}

function isEqualAt(a: object, b: object, path: readonly string[]): boolean {
  return JSON.stringify(valueAt(a, path)) === JSON.stringify(valueAt(b, path));
}

function valueAt(value: unknown, path: readonly string[]): unknown {
  return path.reduce<unknown>(
    (parent, step) => (parent as Record<string, unknown> | undefined)?.[step],
    value,
  );
}
