import {z} from 'zod';
import {checkTree} from './check.js';
import {
  SLICES_DEFAULT,
  serviceSchema,
  type ServiceDeclaration,
} from './declaration.js';
import {findingAt, type Finding} from './finding.js';
import {fieldOf, placeOf, treeAt, type Field, type Tree} from './tree.js';

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
interface Draft {
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
  const drafts = draftsOf(tree);
  return [...drafts.flatMap(serviceFindings), ...overlaps(drafts)];
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
    {readonly site: string; readonly draft: Draft}
  >();
  for (const {site, tree} of sites) {
    for (const draft of draftsOf(tree)) {
      const other = first.get(draft.name);
      if (!other) first.set(draft.name, {site, draft});
      else findings.push(...disagreements(draft, other.draft, other.site));
    }
  }
  return findings;
}

function draftsOf(tree: Tree): readonly Draft[] {
  const services = treeAt(tree, ['services']);
  if (services?.kind !== 'object') return [];
  return services.fields.map(draftOf);
}

function draftOf(field: Field): Draft {
  const shape = serviceSchema.shape;
  const fields: Record<string, unknown> = {};
  for (const [name, schema] of Object.entries(shape)) {
    const part = fieldOf(field.value, name)?.value;
    if (part) fields[name] = checkTree(schema as z.ZodType, part).value;
  }
  return {name: field.name, tree: field.value, fields};
}

function serviceFindings(draft: Draft): readonly Finding[] {
  const keyed = fieldOf(draft.tree, 'key') !== undefined;
  const findings = keyed ? keyedFindings(draft) : unkeyedFindings(draft);
  const prefix = draft.fields.pathPrefix;
  if (prefix === undefined || !/[{}]/.test(prefix)) return findings;
  const place = placeOf(draft.tree, ['pathPrefix']);
  return [...findings, findingAt(place, 'a path prefix has no "{key}"')];
}

function keyedFindings(draft: Draft): readonly Finding[] {
  const {chunks = 1, pathPrefix, key} = draft.fields;
  const slices = slicesOf(draft);
  const findings: Finding[] = [];
  if (slices !== undefined && chunks > slices) {
    const message = `${chunks} chunks are more than ${slices} slices`;
    findings.push(findingAt(placeOf(draft.tree, ['chunks']), message));
  }
  if (key?.path && pathPrefix && !key.path.startsWith(pathPrefix)) {
    const message = `key path is not under the path prefix "${pathPrefix}"`;
    findings.push(findingAt(placeOf(draft.tree, ['key', 'path']), message));
  }
  return findings;
}

function slicesOf(draft: Draft): number | undefined {
  const stated = fieldOf(draft.tree, 'slices') !== undefined;
  return stated ? draft.fields.slices : SLICES_DEFAULT;
}

function unkeyedFindings(draft: Draft): readonly Finding[] {
  const findings = KEYED_FIELDS.flatMap(name => {
    const field = fieldOf(draft.tree, name);
    if (!field) return [];
    const message = `"${name}" has no meaning for a service without "key"`;
    return [findingAt(field.place, message)];
  });
  const prefixes = draft.fields.handover?.prefixes ?? [];
  if (prefixes.length === 0) return findings;
  const message = 'key prefixes have no meaning for a service without "key"';
  const place = placeOf(draft.tree, ['handover', 'prefixes']);
  return [...findings, findingAt(place, message)];
}

function overlaps(drafts: readonly Draft[]): readonly Finding[] {
  return drafts.flatMap((draft, index) => {
    const other = drafts.slice(0, index).find(o => overlap(o, draft));
    if (!other) return [];
    const message =
      `path prefix overlaps with "${other.fields.pathPrefix}"` +
      ` of service "${other.name}"`;
    const place = placeOf(draft.tree, ['pathPrefix']);
    return [findingAt(place, message)];
  });
}

function overlap(a: Draft, b: Draft): boolean {
  const left = a.fields.pathPrefix;
  const right = b.fields.pathPrefix;
  if (left === undefined || right === undefined) return false;
  return left.startsWith(right) || right.startsWith(left);
}

function disagreements(
  draft: Draft,
  other: Draft,
  site: string,
): readonly Finding[] {
  return FLEET_FIELDS.flatMap(path => {
    if (sameAt(draft.fields, other.fields, path)) return [];
    const message =
      `"${path.join('.')}" of service "${draft.name}"` +
      ` differs from that of site "${site}"`;
    const hint = 'a key has one owner across all sites';
    return [findingAt(placeOf(draft.tree, path), message, hint)];
  });
}

function sameAt(a: object, b: object, path: readonly string[]): boolean {
  return JSON.stringify(valueAt(a, path)) === JSON.stringify(valueAt(b, path));
}

function valueAt(value: unknown, path: readonly string[]): unknown {
  return path.reduce<unknown>(
    (parent, step) => (parent as Record<string, unknown> | undefined)?.[step],
    value,
  );
}
