import type {Configuration} from '../model/index.js';
import {checkTree} from './check.js';
import {fleetFindings, siteFindings, type SiteTree} from './consistency.js';
import {configurationOf, siteSchema} from './declaration.js';
import {
  findingAt,
  sortFindings,
  type Finding,
  type Position,
} from './finding.js';
import {ineffectiveRemovals, mergeOverlay} from './merge.js';
import {suggest} from './suggest.js';
import {
  fieldOf,
  parseText,
  positionOf,
  treeAt,
  withoutField,
  type Field,
  type Tree,
} from './tree.js';

/** A settings file and its text. */
export interface SourceFile {
  readonly file: string;
  readonly text: string;
}

/** The outcome of loading a base file and its overlays. */
export type LoadedConfiguration =
  | {readonly kind: 'loaded'; readonly sites: readonly Configuration[]}
  | {readonly kind: 'rejected'; readonly findings: readonly Finding[]};

/** What one overlay yields: a configuration, findings or both. */
interface SiteCheck {
  readonly tree?: SiteTree;
  readonly configuration?: Configuration;
  readonly findings: readonly Finding[];
}

/**
 * Loads the declarations of all sites: the base file merged with one overlay
 * for each site. All findings of all files are reported together.
 *
 * @example
 * const base = {file: 'base.jsonc', text: baseText};
 * const loaded = loadConfiguration(base, [{file: 'newsroom.jsonc', text}]);
 * if (loaded.kind === 'loaded') loaded.sites.map(site => site.site); // ['newsroom']
 */
export function loadConfiguration(
  base: SourceFile,
  overlays: readonly SourceFile[],
): LoadedConfiguration {
  const baseParse = parseDeclarations(base);
  const overlayParses = overlays.map(parseDeclarations);
  const checks = overlayParses.map(parse =>
    checkSite(baseParse.tree, parse.tree),
  );
  const trees = checks.flatMap(check => check.tree ?? []);
  const findings = [
    ...[baseParse, ...overlayParses].flatMap(parse => parse.findings),
    ...baseFindings(base, baseParse.tree, overlays.length),
    ...checks.flatMap(check => check.findings),
    ...duplicateSites(trees),
    ...fleetFindings(trees),
  ];
  if (findings.length > 0) {
    return {kind: 'rejected', findings: sortFindings(findings)};
  }
  return {kind: 'loaded', sites: checks.flatMap(c => c.configuration ?? [])};
}

function parseDeclarations(source: SourceFile) {
  const {tree, findings} = parseText(source.file, source.text);
  return {tree: tree && withoutField(tree, '$schema'), findings};
}

function baseFindings(
  base: SourceFile,
  tree: Tree | undefined,
  overlayCount: number,
): readonly Finding[] {
  const start: Position = {file: base.file, line: 1, column: 1};
  const findings: Finding[] = [];
  if (overlayCount === 0)
    findings.push(findingAt(start, 'no overlay is given'));
  if (!tree) return findings;
  if (tree.kind !== 'object') {
    return [...findings, findingAt(tree.position, 'expected an object')];
  }
  const site = fieldOf(tree, 'site');
  if (site) {
    const message = 'a base file has no "site"';
    findings.push(findingAt(site.position, message, 'move it to an overlay'));
  }
  return findings;
}

function checkSite(
  base: Tree | undefined,
  overlay: Tree | undefined,
): SiteCheck {
  if (!base || !overlay) return {findings: []};
  if (overlay.kind !== 'object') {
    return {findings: [findingAt(overlay.position, 'expected an object')]};
  }
  const merged = {...mergeOverlay(base, overlay), place: overlay.position};
  const checked = checkTree(siteSchema, merged);
  const findings = [
    ...checked.findings,
    ...siteFindings(merged),
    ...ineffectiveRemovals(base, overlay),
    ...unknownServices(base, overlay),
  ];
  const site = treeAt(merged, ['site']);
  const named = site?.kind === 'scalar' && typeof site.value === 'string';
  return {
    findings,
    ...(named && {tree: {site: String(site.value), tree: merged}}),
    ...(checked.value && {configuration: configurationOf(checked.value)}),
  };
}

/** Finds services of an overlay that are neither in the base nor complete. */
function unknownServices(base: Tree, overlay: Tree): readonly Finding[] {
  const known = fieldsAt(base, 'services');
  const names = known.map(field => field.name);
  return fieldsAt(overlay, 'services')
    .filter(field => !names.includes(field.name))
    .filter(field => fieldOf(field.value, 'pathPrefix') === undefined)
    .filter(field => field.value.kind === 'object')
    .map(field => unknownService(field, names));
}

function unknownService(field: Field, names: readonly string[]): Finding {
  const near = suggest(field.name, names);
  const message = `service "${field.name}" is not in the base`;
  const hint = near === undefined ? undefined : `did you mean "${near}"?`;
  return findingAt(field.position, message, hint);
}

function fieldsAt(tree: Tree, name: string): readonly Field[] {
  const part = treeAt(tree, [name]);
  return part?.kind === 'object' ? part.fields : [];
}

function duplicateSites(trees: readonly SiteTree[]): readonly Finding[] {
  const seen = new Set<string>();
  return trees.flatMap(({site, tree}) => {
    const repeated = seen.has(site);
    seen.add(site);
    const message = `site "${site}" has two overlays`;
    return repeated ? [findingAt(positionOf(tree, ['site']), message)] : [];
  });
}
