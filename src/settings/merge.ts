import {findingAt, type Finding} from './finding.js';
import {suggest} from './suggest.js';
import {fieldOf, type Field, type ObjectTree, type Tree} from './tree.js';

/**
 * Merges an overlay into a base: objects merge by field, null removes a field,
 * and every other value of the overlay replaces that of the base. The places
 * of the values are kept.
 *
 * @example
 * mergeOverlay(tree('{"a": {"b": 1, "c": 2}}'), tree('{"a": {"c": null}}'));
 * // {"a": {"b": 1}}
 */
export function mergeOverlay(base: Tree, overlay: Tree): Tree {
  if (overlay.kind !== 'object') return overlay;
  const target = base.kind === 'object' ? base : {...overlay, fields: []};
  return {...target, fields: mergeFields(target, overlay)};
}

function mergeFields(base: ObjectTree, overlay: ObjectTree): readonly Field[] {
  const fields = new Map(base.fields.map(field => [field.name, field]));
  for (const field of overlay.fields) {
    const baseField = fields.get(field.name);
    if (isNull(field.value)) {
      fields.delete(field.name);
    } else if (baseField) {
      const value = mergeOverlay(baseField.value, field.value);
      const nameSource =
        value.position.file === baseField.position.file ? baseField : field;
      fields.set(field.name, {...nameSource, value});
    } else {
      const empty: ObjectTree = {...overlay, fields: []};
      fields.set(field.name, {
        ...field,
        value: mergeOverlay(empty, field.value),
      });
    }
  }
  return [...fields.values()];
}

/**
 * Finds the nulls of an overlay that remove nothing, as a misspelt name would.
 *
 * @example
 * idleRemovals(tree('{"a": 1}'), tree('{"b": null}')).length; // 1
 */
export function ineffectiveRemovals(
  base: Tree,
  overlay: Tree,
): readonly Finding[] {
  if (overlay.kind !== 'object') return [];
  return overlay.fields.flatMap(field => {
    const baseField = fieldOf(base, field.name);
    if (baseField) return ineffectiveRemovals(baseField.value, field.value);
    if (!isNull(field.value)) return [];
    return [ineffectiveRemoval(base, field)];
  });
}

function ineffectiveRemoval(base: Tree, field: Field): Finding {
  const names = base.kind === 'object' ? base.fields.map(f => f.name) : [];
  const near = suggest(field.name, names);
  const message = `null removes "${field.name}", which the base does not have`;
  const hint = near === undefined ? undefined : `did you mean "${near}"?`;
  return findingAt(field.position, message, hint);
}

function isNull(tree: Tree): boolean {
  return tree.kind === 'scalar' && tree.value === null;
}
