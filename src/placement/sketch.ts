/** A key with an estimate of its weight. */
export interface HeavyKey {
  readonly key: string;
  /** Upper bound on the weight counted for the key. */
  readonly weight: number;
  /** Amount by which the weight may be too high. */
  readonly error: number;
}

/**
 * Counts the heaviest keys of a stream in bounded memory by the space-saving
 * algorithm. A key whose weight exceeds the total weight divided by the
 * capacity is always among the counted ones.
 */
export interface Sketch {
  /** Adds weight to a key. */
  readonly add: (key: string, weight: number) => void;
  /** Lists the counted keys, heaviest first. */
  readonly heaviest: () => readonly HeavyKey[];
  /** Multiplies every count, so that old load fades. */
  readonly decay: (factor: number) => void;
}

interface Counter {
  weight: number;
  error: number;
}

/**
 * Creates an empty sketch. It is the one mutable value of this module, since
 * it is changed by every request; decisions read its `heaviest` list.
 *
 * @param capacity Number of keys counted at a time.
 * @throws {RangeError} when the capacity is not a positive integer.
 *
 * @example
 * const sketch = createSketch(64);
 * sketch.add('night-desk', 1);
 * sketch.heaviest()[0]; // {key: 'night-desk', weight: 1, error: 0}
 */
export function createSketch(capacity: number): Sketch {
  if (!Number.isInteger(capacity) || capacity < 1) {
    throw new RangeError(`capacity is not a positive integer: ${capacity}`);
  }
  const counters = new Map<string, Counter>();
  return {
    add: (key, weight) => add(counters, capacity, key, weight),
    heaviest: () => heaviest(counters),
    decay: factor => decay(counters, factor),
  };
}

function add(
  counters: Map<string, Counter>,
  capacity: number,
  key: string,
  weight: number,
): void {
  if (!(weight >= 0)) throw new RangeError(`weight is not positive: ${weight}`);
  const known = counters.get(key);
  if (known) {
    known.weight += weight;
    return;
  }
  const error = counters.size < capacity ? 0 : evictLightest(counters);
  counters.set(key, {weight: error + weight, error});
}

/** Removes the lightest key and returns its weight. */
function evictLightest(counters: Map<string, Counter>): number {
  let lightest = '';
  let weight = Infinity;
  for (const [key, counter] of counters) {
    if (counter.weight >= weight) continue;
    lightest = key;
    weight = counter.weight;
  }
  counters.delete(lightest);
  return weight;
}

function heaviest(
  counters: ReadonlyMap<string, Readonly<Counter>>,
): readonly HeavyKey[] {
  const keys = Array.from(counters, ([key, {weight, error}]) => ({
    key,
    weight,
    error,
  }));
  return keys.sort((a, b) => b.weight - a.weight || (a.key < b.key ? -1 : 1));
}

function decay(counters: Map<string, Counter>, factor: number): void {
  if (!(factor >= 0 && factor <= 1)) {
    throw new RangeError(`factor is not between 0 and 1: ${factor}`);
  }
  for (const counter of counters.values()) {
    counter.weight *= factor;
    counter.error *= factor;
  }
}
