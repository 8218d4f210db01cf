import {
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import {findingAt, type Finding, type Position} from './finding.js';

/** A named value of an object, with the place of its name. */
export interface Field {
  readonly name: string;
  readonly position: Position;
  readonly value: Tree;
}

/** An object of a settings file. */
export interface ObjectTree {
  readonly kind: 'object';
  readonly position: Position;
  readonly fields: readonly Field[];
}

/** A list of a settings file. */
export interface ListTree {
  readonly kind: 'list';
  readonly position: Position;
  readonly items: readonly Tree[];
}

/** A text, number, truth value or null of a settings file. */
export interface ScalarTree {
  readonly kind: 'scalar';
  readonly position: Position;
  readonly value: string | number | boolean | null;
}

/** A parsed value in which every part knows its place in the file. */
export type Tree = ObjectTree | ListTree | ScalarTree;

/** The result of parsing one file; without a tree there are findings. */
export interface ParseResult {
  readonly tree?: Tree;
  readonly findings: readonly Finding[];
}

/** Steps from the root of a tree to one of its values. */
export type Path = readonly PropertyKey[];

/**
 * Parses JSON with comments and trailing commas. A file with faults of syntax
 * has no tree; a field that stands twice in an object is a finding.
 *
 * @example
 * parseText('a.jsonc', '{"site": "brussels"} // one site').findings; // []
 */
export function parseText(file: string, text: string): ParseResult {
  const locate = createLocator(file, text);
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, {allowTrailingComma: true});
  if (errors.length > 0 || !root) {
    return {findings: errors.map(error => syntaxFinding(error, locate))};
  }
  const tree = convert(root, locate);
  return {tree, findings: duplicateFields(tree)};
}

/**
 * Returns the value of a tree without its places.
 *
 * @example
 * plainValue(parseText('a.jsonc', '[1, /* two *\/ 2]').tree!); // [1, 2]
 */
export function plainValue(tree: Tree): unknown {
  switch (tree.kind) {
    case 'scalar':
      return tree.value;
    case 'list':
      return tree.items.map(plainValue);
    case 'object':
      return Object.fromEntries(
        tree.fields.map(field => [field.name, plainValue(field.value)]),
      );
  }
}

/**
 * Returns the field of an object by name, if the tree is an object and has it.
 *
 * @example
 * fieldOf(parseText('a.jsonc', '{"a": 1}').tree!, 'a')?.place.column; // 2
 */
export function fieldOf(tree: Tree, name: PropertyKey): Field | undefined {
  if (tree.kind !== 'object') return undefined;
  return tree.fields.findLast(field => field.name === name);
}

/**
 * Returns the place of the value at a path, or of the nearest enclosing value
 * that exists.
 *
 * @example
 * placeOf(parseText('a.jsonc', '{"a": [1, 2]}').tree!, ['a', 1]).column; // 11
 */
export function positionOf(tree: Tree, path: Path): Position {
  const child = path.length === 0 ? undefined : childOf(tree, path[0]);
  return child ? positionOf(child, path.slice(1)) : tree.position;
}

/**
 * Returns the place of the name of the field at a path.
 *
 * @example
 * namePlaceOf(parseText('a.jsonc', '{"a": 1}').tree!, ['a']).column; // 2
 */
export function namePositionOf(tree: Tree, path: Path): Position {
  const parent = treeAt(tree, path.slice(0, -1));
  const field = parent && fieldOf(parent, path[path.length - 1]);
  return field ? field.position : positionOf(tree, path);
}

/**
 * Returns the tree at a path, or undefined where there is none.
 *
 * @example
 * treeAt(parseText('a.jsonc', '{"a": 1}').tree!, ['b']); // undefined
 */
export function treeAt(tree: Tree, path: Path): Tree | undefined {
  if (path.length === 0) return tree;
  const child = childOf(tree, path[0]);
  return child && treeAt(child, path.slice(1));
}

function childOf(tree: Tree, step: PropertyKey): Tree | undefined {
  if (tree.kind === 'list') return tree.items[Number(step)];
  return fieldOf(tree, step)?.value;
}

/**
 * Returns a tree without one field of its root object.
 *
 * @example
 * withoutField(parseText('a.jsonc', '{"a": 1}').tree!, 'a');
 */
export function withoutField(tree: Tree, name: string): Tree {
  if (tree.kind !== 'object') return tree;
  return {...tree, fields: tree.fields.filter(field => field.name !== name)};
}

type Locator = (offset: number) => Position;

function createLocator(file: string, text: string): Locator {
  const starts = [0];
  for (let i = 0; i < text.length; i++) {
    if (text[i] === '\n') starts.push(i + 1);
  }
  return offset => {
    const next = starts.findIndex(start => start > offset);
    const line = next < 0 ? starts.length : next;
    return {file, line, column: offset - starts[line - 1] + 1};
  };
}

function convert(node: Node, locate: Locator): Tree {
  const place = locate(node.offset);
  const children = node.children ?? [];
  switch (node.type) {
    case 'object':
      return {
        kind: 'object',
        position: place,
        fields: children.map(child => convertField(child, locate)),
      };
    case 'array':
      return {
        kind: 'list',
        position: place,
        items: children.map(child => convert(child, locate)),
      };
    default:
      return {
        kind: 'scalar',
        position: place,
        value: node.value as ScalarTree['value'],
      };
  }
}

function convertField(property: Node, locate: Locator): Field {
  const [name, value] = property.children as Node[];
  return {
    name: name.value as string,
    position: locate(name.offset),
    value: convert(value, locate),
  };
}

function syntaxFinding(error: ParseError, locate: Locator): Finding {
  const words = printParseErrorCode(error.error)
    .replaceAll(/([A-Z])/g, ' $1')
    .trim()
    .toLowerCase();
  return findingAt(locate(error.offset), `syntax: ${words}`);
}

function duplicateFields(tree: Tree): readonly Finding[] {
  if (tree.kind === 'scalar') return [];
  if (tree.kind === 'list') return tree.items.flatMap(duplicateFields);
  const seen = new Set<string>();
  const findings: Finding[] = [];
  for (const field of tree.fields) {
    if (seen.has(field.name)) {
      const message = `field "${field.name}" stands twice`;
      findings.push(findingAt(field.position, message));
    }
    seen.add(field.name);
    findings.push(...duplicateFields(field.value));
  }
  return findings;
}
