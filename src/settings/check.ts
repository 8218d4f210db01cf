import {z} from 'zod';
import {findingAt, type Finding} from './finding.js';
import {suggest} from './suggest.js';
import {namePositionOf, positionOf, plainValue, treeAt} from './tree.js';
import type {Path, Tree} from './tree.js';

/** The outcome of checking a tree; the value is absent if there are findings. */
export interface CheckResult<T> {
  readonly value?: T;
  readonly findings: readonly Finding[];
}

/** One fault that zod reports. */
type Issue = z.core.$ZodIssue;

/**
 * Checks a tree against a schema and reports every fault at its place.
 *
 * @param root Path of the tree in its document; prefixes the places.
 *
 * @example
 * checkTree(z.strictObject({site: z.string()}), tree).findings;
 */
export function checkTree<T>(schema: z.ZodType<T>, tree: Tree): CheckResult<T> {
  const result = schema.safeParse(plainValue(tree));
  if (result.success) return {value: result.data, findings: []};
  const findings = result.error.issues.flatMap(issue =>
    findingsOf(issue, [], schema, tree),
  );
  return {findings};
}

function findingsOf(
  issue: Issue,
  parentPath: Path,
  schema: z.ZodType,
  tree: Tree,
): readonly Finding[] {
  const path = [...parentPath, ...issue.path];
  if (issue.code === 'unrecognized_keys') {
    const names = fieldNames(schemaAt(schema, path));
    return issue.keys.map(key => unknownField(key, path, names, tree));
  }
  if (issue.code === 'invalid_union') {
    const branch = closestBranch(issue.errors);
    return branch.flatMap(inner => findingsOf(inner, path, schema, tree));
  }
  if (issue.code === 'invalid_key') {
    const message = issue.issues[0]?.message ?? issue.message;
    return [findingAt(namePositionOf(tree, path), message)];
  }
  if (path.length > 0 && !treeAt(tree, path)) {
    const message = `field "${String(path.at(-1))}" is missing`;
    return [findingAt(positionOf(tree, path.slice(0, -1)), message)];
  }
  return [findingAt(positionOf(tree, path), plainMessage(issue))];
}

function unknownField(
  key: string,
  path: Path,
  names: readonly string[],
  tree: Tree,
): Finding {
  const position = namePositionOf(tree, [...path, key]);
  const near = suggest(key, names);
  const hint =
    near !== undefined
      ? `did you mean "${near}"?`
      : `known fields: ${names.join(', ')}`;
  return findingAt(position, `unknown field "${key}"`, hint);
}

/** Of the branches of a union, prefers one whose type of value is right. */
function closestBranch(branches: readonly Issue[][]): readonly Issue[] {
  const rightType = branches.find(
    issues =>
      !issues.some(i => i.code === 'invalid_type' && i.path.length === 0),
  );
  return rightType ?? branches[0] ?? [];
}

function plainMessage(issue: Issue): string {
  const text = issue.message.replace(/^Invalid (input|option): /, '');
  return text[0].toLowerCase() + text.slice(1);
}

function fieldNames(schema: z.ZodType | undefined): readonly string[] {
  return schema instanceof z.ZodObject ? Object.keys(schema.shape) : [];
}

function schemaAt(schema: z.ZodType, path: Path): z.ZodType | undefined {
  const inner = unwrap(schema);
  if (path.length === 0) return inner;
  const child = childSchema(inner, path[0]);
  return child && schemaAt(child, path.slice(1));
}

function unwrap(schema: z.ZodType): z.ZodType {
  if (schema instanceof z.ZodOptional || schema instanceof z.ZodNullable) {
    return unwrap(schema.unwrap() as z.ZodType);
  }
  if (schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault) {
    return unwrap(schema.unwrap() as z.ZodType);
  }
  if (schema instanceof z.ZodUnion) {
    const object = schema.options.find(option => option instanceof z.ZodObject);
    return object ?? schema;
  }
  return schema;
}

function childSchema(
  schema: z.ZodType,
  step: PropertyKey,
): z.ZodType | undefined {
  if (schema instanceof z.ZodObject) {
    return schema.shape[String(step)] as z.ZodType | undefined;
  }
  if (schema instanceof z.ZodRecord) return schema.valueType as z.ZodType;
  if (schema instanceof z.ZodArray) return schema.element as z.ZodType;
  return undefined;
}
