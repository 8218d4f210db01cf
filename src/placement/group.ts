/**
 * Groups values by a key, in the order in which the keys first appear.
 *
 * @example
 * groupBy([1, 2, 3], n => n % 2).get(1); // [1, 3]
 */
export function groupBy<T, K>(
  values: readonly T[],
  keyOf: (value: T) => K,
): ReadonlyMap<K, readonly T[]> {
  const groups = new Map<K, T[]>();
  for (const value of values) {
    const key = keyOf(value);
    const group = groups.get(key);
    if (group) group.push(value);
    else groups.set(key, [value]);
  }
  return groups;
}
